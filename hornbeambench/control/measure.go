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
	randomSeed = 1
	// These are the counts for a fleet of designRouters routers. A smaller fleet has proportionally
	// fewer engines; the other counts do not change.
	zones, regions, pools = 7, 3, 9
	engines               = 600
	// The configuration has 9,000 client accounts in files of 100, about 1.8 MB in total.
	accounts, accountsPerFile = 9000, 100
)

// fleet is a set of nodes that run in this process.
type fleet struct {
	nodes  []*peer.Node
	cancel context.CancelFunc
	// exits receives the result of Run from each node.
	exits   chan error
	engines []owner.Engine
}

// randomLoads returns random loads for the engines that a node owns.
type randomLoads struct {
	node *peer.Node
	// poolByEngine is the pool of each engine ID.
	poolByEngine map[string]string
	rnd          *rand.Rand
}

// Loads implements peer.Loads.
func (l *randomLoads) Loads() map[string]loadsum.Sum {
	sums := map[string]loadsum.Sum{}
	for _, id := range l.node.Owners().OwnedEngines() {
		s := sums[l.poolByEngine[id]]
		s.Count++
		s.Load += float64(l.rnd.IntN(40))
		sums[l.poolByEngine[id]] = s
	}
	return sums
}

// start starts n nodes and waits until all of them listen.
func (c *Command) start(ctx context.Context, n int, keys *peer.Keys) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{cancel: cancel, exits: make(chan error, n)}
	poolByEngine := map[string]string{}
	for i := range max(1, engines*n/designRouters) {
		id := fmt.Sprintf("engine-%03d", i)
		f.engines = append(f.engines, owner.Engine{ID: id, Zone: zoneName(i), Region: regionName(i)})
		poolByEngine[id] = fmt.Sprintf("pool-%d", i%pools)
	}
	var poolNames []string
	for i := range pools {
		poolNames = append(poolNames, fmt.Sprintf("pool-%d", i))
	}
	var seedAddresses []string
	for i := range n {
		node := &peer.Node{
			ID: fmt.Sprintf("router-%03d", i), Zone: zoneName(i), Region: regionName(i), Listen: "127.0.0.1:0", Keys: keys,
			Seeds: seedAddresses[:min(len(seedAddresses), 5)], Uniform: c.Uniform, Connections: c.Connections, Rand: rand.New(rand.NewPCG(randomSeed, uint64(i))),
		}
		node.Loads = &randomLoads{node, poolByEngine, rand.New(rand.NewPCG(randomSeed, uint64(n+i)))}
		go func() { f.exits <- node.Run(ctx) }()
		select {
		case <-node.Ready():
		case err := <-f.exits:
			cancel()
			return nil, eris.Wrap(err, "start a router")
		}
		node.SetResources(f.engines, poolNames)
		f.nodes = append(f.nodes, node)
		seedAddresses = append(seedAddresses, node.Address())
	}
	return f, nil
}

// zoneName and regionName return the availability zone and the region of router or engine i. All
// routers and engines of a zone are in one region.
func zoneName(i int) string   { return fmt.Sprintf("zone-%d", i%zones) }
func regionName(i int) string { return fmt.Sprintf("region-%d", i%zones%regions) }

// stop stops all nodes and returns the first error that one of them returned.
func (f *fleet) stop() error {
	f.cancel()
	var first error
	for range f.nodes {
		if err := <-f.exits; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// waitForAll waits for one node after the other until it meets a condition, and returns the elapsed
// time in seconds. It does not check again whether earlier nodes still meet the condition.
func (f *fleet) waitForAll(ctx context.Context, condition func(node *peer.Node) bool) (float64, error) {
	started := time.Now()
	for _, node := range f.nodes {
		for !condition(node) {
			select {
			case <-ctx.Done():
				return 0, ctx.Err()
			case <-time.After(5 * time.Millisecond):
			}
			if time.Since(started) > 5*time.Minute {
				return 0, eris.New("a router did not reach the expected state within 5 minutes")
			}
		}
	}
	return time.Since(started).Seconds(), nil
}

// usage is the total resource usage of all nodes so far.
type usage struct {
	at      time.Time
	traffic peer.TrafficStats
	cpu     time.Duration
}

func (f *fleet) usage() usage {
	u := usage{at: time.Now(), traffic: peer.TrafficStats{ByMethod: map[string]peer.Traffic{}}}
	for _, node := range f.nodes {
		stats := node.TrafficStats()
		u.traffic.Wire = sum(u.traffic.Wire, stats.Wire)
		for kind, t := range stats.ByMethod {
			u.traffic.ByMethod[kind] = sum(u.traffic.ByMethod[kind], t)
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

// cost returns the mean usage of a node between two readings. Memory is as of now. The number of
// messages in TrafficStats.Wire is that of the opened connections.
func (f *fleet) cost(from, to usage) Cost {
	seconds := to.at.Sub(from.at).Seconds()
	rate := func(a, b int64) float64 { return float64(b-a) / seconds / float64(len(f.nodes)) }
	c := Cost{
		SentPerSecond:        rate(from.traffic.Wire.Sent, to.traffic.Wire.Sent),
		ReceivedPerSecond:    rate(from.traffic.Wire.Received, to.traffic.Wire.Received),
		DialsPerSecond:       rate(from.traffic.Wire.Messages, to.traffic.Wire.Messages),
		CPUPercent:           100 * (to.cpu - from.cpu).Seconds() / seconds / float64(len(f.nodes)),
		MethodBytesPerSecond: map[string]float64{},
	}
	c.BytesPerSecond = max(c.SentPerSecond, c.ReceivedPerSecond)
	for kind, t := range to.traffic.ByMethod {
		c.MethodBytesPerSecond[kind] = rate(from.traffic.ByMethod[kind].Sent+from.traffic.ByMethod[kind].Received, t.Sent+t.Received)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	c.MemoryBytes = float64(m.HeapInuse+m.StackInuse) / float64(len(f.nodes))
	return c
}

// measure starts a fleet of n nodes, measures it and stops it.
func (c *Command) measure(ctx context.Context, n int) (Result, error) {
	var keys *peer.Keys
	if !c.Plain {
		var err error
		if keys, err = newKeys(); err != nil {
			return Result{}, err
		}
	}
	f, err := c.start(ctx, n, keys)
	if err != nil {
		return Result{}, err
	}
	s := Result{Routers: n}
	err = c.observe(ctx, f, &s)
	return s, errors.Join(err, f.stop())
}

// observe waits until a fleet has formed, and then measures its steady state and the configuration
// changes.
func (c *Command) observe(ctx context.Context, f *fleet, s *Result) error {
	n := len(f.nodes)
	var err error
	s.JoinSeconds, err = f.waitForAll(ctx, func(node *peer.Node) bool { return len(node.Members().Members) == n && node.Owners().Trusted })
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
	return c.measureChanges(ctx, f, s)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// measureChanges distributes a configuration and then changes of one file each. It measures the
// bytes received beyond the steady state, and the longest activation time of a change.
func (c *Command) measureChanges(ctx context.Context, f *fleet, s *Result) error {
	m, contents := configuration()
	relay := f.nodes[0]
	for _, node := range f.nodes {
		if node.Owners().IsRelay() {
			relay = node
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
		activationTime, err := f.waitForAll(ctx, func(node *peer.Node) bool { return node.Revision() == m.Revision })
		if err != nil {
			return err
		}
		// Messages that are still in flight when the revision is active on all nodes count as well.
		if err := sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		cost := f.cost(before, f.usage())
		extra := (cost.ReceivedPerSecond - s.Steady.ReceivedPerSecond) * (activationTime + 2)
		if i == 0 {
			s.FullCopyBytes = extra
			continue
		}
		s.ChangeBytes += extra / float64(c.Changes)
		s.MaxActivationSeconds = max(s.MaxActivationSeconds, activationTime)
	}
	return nil
}

// configuration returns the manifest and the file contents of a first revision with all client
// accounts. The revision number is 0.
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

// accountsFile returns a file of client accounts with about 200 bytes each. Key digests make up a
// third of the file and compress far less than the rest.
func accountsFile(i int, rev int64) []byte {
	var b strings.Builder
	for j := range accountsPerFile {
		key := sha256.Sum256(fmt.Appendf(nil, "key %d %d", i, j))
		_, _ = fmt.Fprintf(&b, "- name: account-%05d\n  keys: [%s]\n  models: ['*']\n  services: [placements]\n  class: normal\n"+
			"  weight: 1\n  rate: %d\n  tokens: 20000\n", i*accountsPerFile+j, hex.EncodeToString(key[:]), 10+rev)
	}
	return []byte(b.String())
}
