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
	// localPollInterval is the time between two checks of the state in this process: whether a new
	// configuration is in force, whether this router has become a relay, and whether a poll of the
	// shared decisions is due.
	localPollInterval = 100 * time.Millisecond
	// relayListInterval is the mean time between two reads of the instance list by a relay or by a
	// router that knows no other router. listInterval is the mean time for all other routers, which
	// learn of new routers by gossip. The total read rate thus grows with the number of
	// availability zones, and hardly with the number of routers.
	relayListInterval = 5 * time.Second
	listInterval      = 2 * time.Minute
	// minRetryDelay and maxRetryDelay bound the random delay after a failed read or write of the
	// object API or a failed read of the instance list.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// revisionRecordFile is the name of a file that toManifest adds to the manifest. It holds the
	// metadata of the revision, such as author, time and reason.
	revisionRecordFile = ".revision"
)

// watchConfig watches the object API for new configuration revisions while this router is a relay,
// and announces them to the other routers.
func (d *Daemon) watchConfig(ctx context.Context) error {
	if !d.waitUntilReady(ctx) {
		return nil
	}
	after := int64(0)
	for ctx.Err() == nil {
		if !d.node.Owners().IsRelay() {
			_ = sleep.For(ctx, localPollInterval)
			continue
		}
		next, err := d.announceNextRevision(ctx, after)
		if err != nil {
			d.Log.Debug("cannot read or announce the next configuration revision; retrying", zap.Error(err))
			_ = sleep.For(ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
			continue
		}
		after = next
	}
	return nil
}

// announceNextRevision waits until the head is newer than the object version after, or until the
// wait limit of the object API passes. It announces the head revision if it is higher than the
// current one, and returns the object version to continue from.
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

// announce reads the files of a revision that are missing on this router, and announces the
// revision to the other routers.
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

// toManifest returns the manifest by which routers exchange a revision. It also returns the content
// of revisionRecordFile, the first file of the manifest.
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

// revisionApplier activates configuration revisions that this router or another one has read from
// the object API. It implements peer.Revisions.
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

// updateResources passes the engines and pools that need owners to the peer node whenever the
// configuration changes.
func (d *Daemon) updateResources(ctx context.Context) error {
	if !d.waitUntilReady(ctx) {
		return nil
	}
	revision := int64(0)
	for ctx.Err() == nil {
		if s, ok := d.inForce.Current(); ok && s.Revision.Number > revision {
			revision = s.Revision.Number
			d.node.SetResources(enginesAndPools(s.Policy))
		}
		_ = sleep.For(ctx, localPollInterval)
	}
	return nil
}

// enginesAndPools returns the engines that belong to a pool, and the names of all pools.
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

// watchInstances periodically reads the instance list and passes its routers to the peer node. See
// relayListInterval for the interval.
func (d *Daemon) watchInstances(ctx context.Context) error {
	if !d.waitUntilReady(ctx) {
		return nil
	}
	for ctx.Err() == nil {
		list, err := d.instanceList.List(ctx)
		if err != nil {
			d.Log.Debug("cannot read the instance list; retrying", zap.Error(err))
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
