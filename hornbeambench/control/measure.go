package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"hornbeamstep.example/coord/loadsum"
	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/coord/revision"
	"hornbeamstep.example/hornbeamd/peer"
)

const (
	seed = 1
	// The fleet has the proportions of the size to design for.
	zones, regions, pools = 7, 3, 9
	engines               = 600
	// The configuration has 9,000 client accounts in files of 100, about 1.8 MB.
	accounts, accountsPerFile = 9000, 100
)

// fleet is a number of nodes in this process.
type fleet struct {
	nodes   []*peer.Node
	cancel  context.CancelFunc
	ended   chan error
	engines []owner.Engine
}

// loads gives each router the load of its engines.
type loads struct {
	node    *peer.Node
	engines map[string]string
	rnd     *rand.Rand
}

// Loads implements peer.Loads.
func (l *loads) Loads() map[string]loadsum.Sum {
	out := map[string]loadsum.Sum{}
	for _, id := range l.node.Owners().OwnedEngines() {
		s := out[l.engines[id]]
		s.Count++
		s.Load += float64(l.rnd.IntN(40))
		out[l.engines[id]] = s
	}
	return out
}

func (c *Command) start(ctx context.Context, n int, keys *peer.Keys) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{cancel: cancel, ended: make(chan error, n)}
	byPool := map[string]string{}
	for i := range max(1, engines*n/designSize) {
		id := fmt.Sprintf("engine-%03d", i)
		f.engines = append(f.engines, owner.Engine{ID: id, Zone: zoneName(i), Region: regionName(i)})
		byPool[id] = fmt.Sprintf("pool-%d", i%pools)
	}
	var names []string
	for i := range pools {
		names = append(names, fmt.Sprintf("pool-%d", i))
	}
	var seeds []string
	for i := range n {
		x := &peer.Node{
			ID: fmt.Sprintf("router-%03d", i), Zone: zoneName(i), Region: regionName(i), Listen: "127.0.0.1:0", Keys: keys,
			Seeds: seeds[:min(len(seeds), 5)], Uniform: c.Uniform, Connections: c.Connections, Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		}
		x.Loads = &loads{x, byPool, rand.New(rand.NewPCG(seed, uint64(n+i)))}
		go func() { f.ended <- x.Run(ctx) }()
		select {
		case <-x.Ready():
		case err := <-f.ended:
			cancel()
			return nil, eris.Wrap(err, "a router did not start")
		}
		x.SetResources(f.engines, names)
		f.nodes = append(f.nodes, x)
		seeds = append(seeds, x.Address())
	}
	return f, nil
}

func zoneName(i int) string   { return fmt.Sprintf("zone-%d", i%zones) }
func regionName(i int) string { return fmt.Sprintf("region-%d", i%zones%regions) }

// stop returns the first error with which a router ended.
func (f *fleet) stop() error {
	f.cancel()
	var first error
	for range f.nodes {
		if err := <-f.ended; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// wait waits until every node meets a condition and returns the time in seconds.
func (f *fleet) wait(ctx context.Context, met func(x *peer.Node) bool) (float64, error) {
	begin := time.Now()
	for _, x := range f.nodes {
		for !met(x) {
			select {
			case <-ctx.Done():
				return 0, ctx.Err()
			case <-time.After(5 * time.Millisecond):
			}
			if time.Since(begin) > 5*time.Minute {
				return 0, eris.New("the fleet does not agree within 5 minutes")
			}
		}
	}
	return time.Since(begin).Seconds(), nil
}

// usage is what all nodes used so far.
type usage struct {
	at    time.Time
	bytes peer.TrafficStats
	cpu   time.Duration
}

func (f *fleet) usage() usage {
	u := usage{at: time.Now(), bytes: peer.TrafficStats{Kinds: map[string]peer.Traffic{}}}
	for _, x := range f.nodes {
		b := x.TrafficStats()
		u.bytes.Wire = sum(u.bytes.Wire, b.Wire)
		for kind, t := range b.Kinds {
			u.bytes.Kinds[kind] = sum(u.bytes.Kinds[kind], t)
		}
	}
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err == nil {
		u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	return u
}

func sum(a, b peer.Traffic) peer.Traffic {
	return peer.Traffic{Sent: a.Sent + b.Sent, Received: a.Received + b.Received, Messages: a.Messages + b.Messages}
}

// cost is what each node spent between two readings.
func (f *fleet) cost(from, to usage) Cost {
	seconds := to.at.Sub(from.at).Seconds()
	per := func(a, b int64) float64 { return float64(b-a) / seconds / float64(len(f.nodes)) }
	c := Cost{
		Sent:     per(from.bytes.Wire.Sent, to.bytes.Wire.Sent),
		Received: per(from.bytes.Wire.Received, to.bytes.Wire.Received),
		Dials:    per(from.bytes.Wire.Messages, to.bytes.Wire.Messages),
		Core:     100 * (to.cpu - from.cpu).Seconds() / seconds / float64(len(f.nodes)),
		Kinds:    map[string]float64{},
	}
	c.Bytes = max(c.Sent, c.Received)
	for kind, t := range to.bytes.Kinds {
		c.Kinds[kind] = per(from.bytes.Kinds[kind].Sent+from.bytes.Kinds[kind].Received, t.Sent+t.Received)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	c.Memory = float64(m.HeapInuse+m.StackInuse) / float64(len(f.nodes))
	return c
}

// measure runs one size.
func (c *Command) measure(ctx context.Context, n int) (Size, error) {
	var keys *peer.Keys
	if !c.Plain {
		var err error
		if keys, err = newKeys(); err != nil {
			return Size{}, err
		}
	}
	f, err := c.start(ctx, n, keys)
	if err != nil {
		return Size{}, err
	}
	s := Size{Routers: n}
	err = c.observe(ctx, f, &s)
	return s, errors.Join(err, f.stop())
}

// observe measures a running fleet.
func (c *Command) observe(ctx context.Context, f *fleet, s *Size) error {
	n := len(f.nodes)
	var err error
	s.Joined, err = f.wait(ctx, func(x *peer.Node) bool { return len(x.Members().Members) == n && x.Owners().Trusted })
	if err != nil {
		return err
	}
	if err := sleep(ctx, c.Settle); err != nil {
		return err
	}
	runtime.GC()
	before := f.usage()
	if err := sleep(ctx, c.Window); err != nil {
		return err
	}
	s.Steady = f.cost(before, f.usage())
	return c.changes(ctx, f, s)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// changes measures the first whole copy of a configuration and changes of one file, beyond the steady state.
func (c *Command) changes(ctx context.Context, f *fleet, s *Size) error {
	m, contents := configuration()
	relay := f.nodes[0]
	for _, x := range f.nodes {
		if x.Owners().IsRelay() {
			relay = x
		}
	}
	for i := range c.Changes + 1 {
		before := f.usage()
		m.Revision++
		if i > 0 {
			contents = [][]byte{accountsFile(i, m.Revision)}
			m.Files[i].Digest = revision.Digest(contents[0])
		}
		if err := relay.Announce(ctx, revision.Manifest{Revision: m.Revision, Files: append([]revision.File(nil), m.Files...)}, contents); err != nil {
			return err
		}
		force, err := f.wait(ctx, func(x *peer.Node) bool { return x.Revision() == m.Revision })
		if err != nil {
			return err
		}
		// The rest of the period lets late messages arrive.
		if err := sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		cost := f.cost(before, f.usage())
		extra := (cost.Received - s.Steady.Received) * (force + 2)
		if i == 0 {
			s.Whole = extra
			continue
		}
		s.Change += extra / float64(c.Changes)
		s.Force = max(s.Force, force)
	}
	return nil
}

// configuration returns a first revision with all client accounts.
func configuration() (revision.Manifest, [][]byte) {
	var m revision.Manifest
	var contents [][]byte
	for i := range accounts / accountsPerFile {
		content := accountsFile(i, 0)
		contents = append(contents, content)
		m.Files = append(m.Files, revision.File{
			Name: fmt.Sprintf("accounts/%03d.yaml", i), Digest: revision.Digest(content), Size: int64(len(content)),
		})
	}
	return m, contents
}

// accountsFile returns client accounts of about 200 bytes each. A third is the digest of a key, which does not compress.
func accountsFile(i int, rev int64) []byte {
	var b strings.Builder
	for j := range accountsPerFile {
		key := sha256.Sum256(fmt.Appendf(nil, "key %d %d", i, j))
		_, _ = fmt.Fprintf(&b, "- name: account-%05d\n  keys: [%s]\n  models: ['*']\n  services: [placements]\n  class: normal\n"+
			"  weight: 1\n  rate: %d\n  tokens: 20000\n", i*accountsPerFile+j, hex.EncodeToString(key[:]), 10+rev)
	}
	return []byte(b.String())
}
