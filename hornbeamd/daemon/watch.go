package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/coord/member"
	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/coord/revision"
	"hornbeamstep.example/coord/sleep"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/policy/configfile"
	"hornbeamstep.example/policy/history"
	"hornbeamstep.example/ports/instancelist"
)

const (
	// configPollInterval is the time between two checks of local state: for a new configuration
	// whose engines need owners, and for whether this router has become a relay.
	configPollInterval = 100 * time.Millisecond
	// relayListInterval is the mean time between two reads of the instance list by a relay, and
	// listInterval by other routers. These learn of new routers by gossip, so the read rate grows
	// with the number of availability zones and hardly with that of routers.
	relayListInterval = 5 * time.Second
	listInterval      = 2 * time.Minute
	// minRetryDelay and maxRetryDelay bound the delay, with jitter, after a failed call to the
	// object API.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// revisionRecordFile is the name of the manifest file that holds the metadata of the revision:
	// author, time and reason.
	revisionRecordFile = ".revision"
)

// watchConfig watches for new configuration revisions while this router is a relay.
func (d *Daemon) watchConfig(ctx context.Context) error {
	if !d.waitUntilReady(ctx) {
		return nil
	}
	after := int64(0)
	for ctx.Err() == nil {
		if !d.node.Owners().IsRelay() {
			_ = sleep.For(ctx, configPollInterval)
			continue
		}
		next, err := d.announceNextRevision(ctx, after)
		if err != nil {
			d.Log.Debug("cannot read the configuration", zap.Error(err))
			_ = sleep.For(ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
			continue
		}
		after = next
	}
	return nil
}

// announceNextRevision waits for the next head revision and announces it.
func (d *Daemon) announceNextRevision(ctx context.Context, after int64) (int64, error) {
	number, next, err := d.history.Watch(ctx, after)
	if err != nil || number <= d.node.Revision() {
		return next, err
	}
	r, err := d.history.Revision(ctx, number)
	if err != nil {
		return after, err
	}
	if err := d.announce(ctx, r); err != nil {
		return after, err
	}
	return next, nil
}

// announce reads the files of a revision that this router lacks, and announces the revision to the
// other routers.
func (d *Daemon) announce(ctx context.Context, r history.Revision) error {
	m, record, err := toManifest(r)
	if err != nil {
		return err
	}
	missing, err := d.node.MissingFiles(ctx, m)
	if err != nil {
		return err
	}
	contents := [][]byte{record}
	for _, f := range missing {
		if f.Name == revisionRecordFile {
			continue
		}
		data, err := d.history.Blob(ctx, history.FileRef{Name: f.Name, Digest: f.Digest, Size: int(f.Size)})
		if err != nil {
			return err
		}
		contents = append(contents, data)
	}
	return d.node.Announce(ctx, m, contents)
}

// toManifest returns the manifest of a revision that daemons exchange, and the record of the
// revision, which is a file of the manifest.
func toManifest(r history.Revision) (revision.Manifest, []byte, error) {
	record, err := json.Marshal(r)
	if err != nil {
		return revision.Manifest{}, nil, err
	}
	m := revision.Manifest{Revision: r.Number}
	m.Files = append(m.Files, revision.File{Name: revisionRecordFile, Digest: revision.Digest(record), Size: int64(len(record))})
	for _, f := range r.Files {
		m.Files = append(m.Files, revision.File{Name: f.Name, Digest: f.Digest, Size: int64(f.Size)})
	}
	return m, record, nil
}

// revisionApplier puts a configuration revision that this router or a peer has read in force. It
// implements peer.Revisions.
type revisionApplier struct {
	inForce *history.ActiveConfig
	// loader caches parsed files, so that a new revision parses only the changed files.
	loader *configfile.Loader
}

// Apply implements peer.Revisions.
func (r revisionApplier) Apply(_ context.Context, m revision.Manifest, contents map[string][]byte) error {
	record := history.Revision{Number: m.Revision}
	all := history.Contents{}
	for _, f := range m.Files {
		if f.Name != revisionRecordFile {
			all[f.Digest] = contents[f.Digest]
			continue
		}
		if err := json.Unmarshal(contents[f.Digest], &record); err != nil {
			return err
		}
	}
	state, err := history.NewSnapshot(record, all, r.loader)
	if err != nil {
		return err
	}
	r.inForce.Accept(state)
	return nil
}

// assignOwners passes the engines and pools that need owners to the peer node whenever the
// configuration changes.
func (d *Daemon) assignOwners(ctx context.Context) error {
	if !d.waitUntilReady(ctx) {
		return nil
	}
	revision := int64(0)
	for ctx.Err() == nil {
		if s, ok := d.inForce.Current(); ok && s.Revision.Number > revision {
			revision = s.Revision.Number
			d.node.SetResources(enginesAndPools(s.Policy))
		}
		_ = sleep.For(ctx, configPollInterval)
	}
	return nil
}

func enginesAndPools(p policy.Policy) ([]owner.Engine, []string) {
	var engines []owner.Engine
	for name, b := range p.Backends {
		if b.Pool != "" {
			engines = append(engines, owner.Engine{ID: name, Zone: b.Zone})
		}
	}
	var pools []string
	for name := range p.Pools {
		pools = append(pools, name)
	}
	return engines, pools
}

// watchInstances reads the instance list every relayListInterval as a relay, and every listInterval
// otherwise.
func (d *Daemon) watchInstances(ctx context.Context) error {
	if !d.waitUntilReady(ctx) {
		return nil
	}
	for ctx.Err() == nil {
		list, err := d.instanceList.List(ctx)
		if err != nil {
			d.Log.Debug("cannot read the instance list", zap.Error(err))
			_ = sleep.For(ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
			continue
		}
		d.node.SetInstances(routerInstances(list))
		every := listInterval
		if d.node.Owners().IsRelay() || len(d.node.Members().Members) < 2 {
			every = relayListInterval
		}
		_ = sleep.For(ctx, every/2+rand.N(every))
	}
	return nil
}

func routerInstances(list []instancelist.Instance) []member.Instance {
	var out []member.Instance
	for _, i := range list {
		if i.Role == "router" {
			out = append(out, member.Instance{Address: i.Address, Leaving: i.State == instancelist.Leaving})
		}
	}
	return out
}
