package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/coord/member"
	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/coord/pause"
	"hornbeamstep.example/coord/revision"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/policy/folder"
	"hornbeamstep.example/policy/history"
	"hornbeamstep.example/ports/instancelist"
)

const (
	// assignEvery is the time between two looks for a new configuration whose engines need owners.
	assignEvery = 100 * time.Millisecond
	// listEvery is the time between two reads of the instance list by a relay, listRarely by other routers: gossip tells
	// them of new routers, so that the reads grow with availability zones and hardly with routers.
	listEvery  = 5 * time.Second
	listRarely = 2 * time.Minute
	// retryLeast and retryMost bound the jittered wait after a failed call to the object API.
	retryLeast = 200 * time.Millisecond
	retryMost  = 2 * time.Second
	// recordName is the file of a manifest that holds the revision's own record: who made it, when and why.
	recordName = ".revision"
)

// watchConfig follows the head of the configuration while this router is a relay.
func (d *Daemon) watchConfig(ctx context.Context) error {
	if !d.joined(ctx) {
		return nil
	}
	after := int64(0)
	for ctx.Err() == nil {
		if !d.node.Owners().IsRelay() {
			_ = pause.For(ctx, assignEvery)
			continue
		}
		next, err := d.follow(ctx, after)
		if err != nil {
			d.Log.Debug("configuration could not be read", zap.Error(err))
			_ = pause.For(ctx, retryLeast+rand.N(retryMost-retryLeast))
			continue
		}
		after = next
	}
	return nil
}

// follow waits for one change of the head and announces the revision that it names.
func (d *Daemon) follow(ctx context.Context, after int64) (int64, error) {
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

// announce reads the files of a revision that this router lacks, and tells the others of it.
func (d *Daemon) announce(ctx context.Context, r history.Revision) error {
	m, record, err := toManifest(r)
	if err != nil {
		return err
	}
	missing, err := d.node.Missing(ctx, m)
	if err != nil {
		return err
	}
	contents := [][]byte{record}
	for _, f := range missing {
		if f.Name == recordName {
			continue
		}
		data, err := d.history.Blob(ctx, history.Ref{Name: f.Name, Digest: f.Digest, Size: int(f.Size)})
		if err != nil {
			return err
		}
		contents = append(contents, data)
	}
	return d.node.Announce(ctx, m, contents)
}

// toManifest returns what daemons exchange about a revision. Its record goes along as a file.
func toManifest(r history.Revision) (revision.Manifest, []byte, error) {
	record, err := json.Marshal(r)
	if err != nil {
		return revision.Manifest{}, nil, err
	}
	m := revision.Manifest{Revision: r.Number}
	m.Files = append(m.Files, revision.File{Name: recordName, Digest: revision.Digest(record), Size: int64(len(record))})
	for _, f := range r.Files {
		m.Files = append(m.Files, revision.File{Name: f.Name, Digest: f.Digest, Size: int64(f.Size)})
	}
	return m, record, nil
}

// revisions puts the configuration in force that this router or a peer has read. It implements peer.Revisions.
type revisions struct {
	inForce *history.InForce
	// loader keeps what was parsed, so that a change costs the changed files only.
	loader *folder.Loader
}

// Apply implements peer.Revisions.
func (r revisions) Apply(_ context.Context, m revision.Manifest, contents map[string][]byte) error {
	record := history.Revision{Number: m.Revision}
	all := history.Contents{}
	for _, f := range m.Files {
		if f.Name != recordName {
			all[f.Digest] = contents[f.Digest]
			continue
		}
		if err := json.Unmarshal(contents[f.Digest], &record); err != nil {
			return err
		}
	}
	state, err := history.NewState(record, all, r.loader)
	if err != nil {
		return err
	}
	r.inForce.Accept(state)
	return nil
}

// assign tells the peers which engines and pools need owners, whenever the configuration changes.
func (d *Daemon) assign(ctx context.Context) error {
	if !d.joined(ctx) {
		return nil
	}
	revision := int64(0)
	for ctx.Err() == nil {
		if s, ok := d.inForce.Current(); ok && s.Revision.Number > revision {
			revision = s.Revision.Number
			d.node.Assign(assigned(s.Policy))
		}
		_ = pause.For(ctx, assignEvery)
	}
	return nil
}

func assigned(p policy.Policy) ([]owner.Engine, []string) {
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

// readInstances reads the instance list: often as a relay, seldom otherwise.
func (d *Daemon) readInstances(ctx context.Context) error {
	if !d.joined(ctx) {
		return nil
	}
	for ctx.Err() == nil {
		list, err := d.list.List(ctx)
		if err != nil {
			d.Log.Debug("instance list could not be read", zap.Error(err))
			_ = pause.For(ctx, retryLeast+rand.N(retryMost-retryLeast))
			continue
		}
		d.node.Listed(routers(list))
		every := listRarely
		if d.node.Owners().IsRelay() || len(d.node.Members().Members) < 2 {
			every = listEvery
		}
		_ = pause.For(ctx, every/2+rand.N(every))
	}
	return nil
}

func routers(list []instancelist.Instance) []member.Instance {
	var out []member.Instance
	for _, i := range list {
		if i.Role == "router" {
			out = append(out, member.Instance{Address: i.Address, Leaving: i.State == instancelist.Leaving})
		}
	}
	return out
}
