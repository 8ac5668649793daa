package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"hornbeamstep.example/coord/loadsum"
	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/coord/revision"
	"hornbeamstep.example/hornbeamd/peer"
	"hornbeamstep.example/routing/limit"
	"hornbeamstep.example/routing/outcome"
)

// certAuthority issues certificates for tests.
type certAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newCertAuthority(c *quicktest.C) *certAuthority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, quicktest.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, quicktest.IsNil)
	cert, err := x509.ParseCertificate(raw)
	c.Assert(err, quicktest.IsNil)
	return &certAuthority{cert, key}
}

// issueKeys writes a certificate with the given role, its key and the authority's certificate to
// dir and loads them.
func (a *certAuthority) issueKeys(c *quicktest.C, dir, role string) *peer.Keys {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, quicktest.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour),
		Subject:     pkix.Name{CommonName: "test", OrganizationalUnit: []string{role}},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	c.Assert(err, quicktest.IsNil)
	der, err := x509.MarshalECPrivateKey(key)
	c.Assert(err, quicktest.IsNil)
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600), quicktest.IsNil)
		return path
	}
	keys, err := peer.LoadKeys(write("cert.pem", "CERTIFICATE", raw), write("key.pem", "EC PRIVATE KEY", der),
		write("authority.pem", "CERTIFICATE", a.cert.Raw))
	c.Assert(err, quicktest.IsNil)
	return keys
}

// fakeHandlers implements the handler interfaces of a node and records what they receive.
type fakeHandlers struct {
	mu       sync.Mutex
	freed    []string
	notices  []peer.Notice
	applied  []int64
	contents map[string][]byte
}

func (f *fakeHandlers) Take(_ context.Context, from string, a peer.SlotRequest) (peer.SlotGrant, error) {
	if a.Engine == "full" {
		return peer.SlotGrant{}, &outcome.Error{Code: outcome.QueueFull, Outcome: outcome.NotRun, RetryAfter: time.Second, Remedy: "wait"}
	}
	return peer.SlotGrant{Slot: from + "/" + a.Request, Lease: 10 * time.Second}, nil
}

func (f *fakeHandlers) Free(_ context.Context, _ string, slots []string, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, slots...)
	return nil
}

func (f *fakeHandlers) Abandon(context.Context, string, []string) error { return nil }

func (f *fakeHandlers) Renew(_ context.Context, _ string, slots []string) ([]string, error) {
	return slots[1:], nil
}

func (f *fakeHandlers) Loads() map[string]loadsum.Sum {
	return map[string]loadsum.Sum{"chat": {Load: 4, Count: 2}}
}

// Report returns each demand as the total, with the length of the router's ID as number of routers.
func (f *fakeHandlers) Report(router string, demands []limit.Demand) []limit.Total {
	var totals []limit.Total
	for _, d := range demands {
		totals = append(totals, limit.Total{Demand: d, Routers: len(router)})
	}
	return totals
}

func (f *fakeHandlers) Notice(n peer.Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notices = append(f.notices, n)
}

func (f *fakeHandlers) Apply(_ context.Context, m revision.Manifest, contents map[string][]byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = append(f.applied, m.Revision)
	f.contents = contents
	return nil
}

type testFleet struct {
	nodes    []*peer.Node
	handlers []*fakeHandlers
	cancels  []context.CancelFunc
	done     []chan error
}

func startFleet(c *quicktest.C, size int, keys *peer.Keys) *testFleet {
	f := &testFleet{}
	var seeds []string
	for i := range size {
		f.addNode(c, i, keys, seeds)
		seeds = append(seeds, f.nodes[i].Address())
	}
	c.Cleanup(func() {
		for i := range f.cancels {
			f.stopNode(i)
		}
	})
	return f
}

// addNode starts a router in zone z0 or z1, depending on whether i is even.
func (f *testFleet) addNode(c *quicktest.C, i int, keys *peer.Keys, seeds []string) {
	handlers := &fakeHandlers{}
	node := &peer.Node{
		ID: fmt.Sprint("r", len(f.nodes)), Zone: fmt.Sprint("z", i%2), Region: "g", Listen: "127.0.0.1:0", Keys: keys, Seeds: seeds,
		Slots: handlers, Loads: handlers, Usages: handlers, Notices: handlers, Revisions: handlers,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	<-node.Ready()
	node.SetResources([]owner.Engine{{ID: "e0", Zone: "z0"}, {ID: "e1", Zone: "z1"}}, []string{"chat"})
	f.nodes, f.handlers = append(f.nodes, node), append(f.handlers, handlers)
	f.cancels, f.done = append(f.cancels, cancel), append(f.done, done)
}

func (f *testFleet) stopNode(i int) {
	f.cancels[i]()
	if f.done[i] != nil {
		<-f.done[i]
		f.done[i] = nil
	}
}

// waitFor polls until the condition is true. It has no timeout of its own; the time limit of the
// test run ends it.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(20 * time.Millisecond)
	}
}

// haveJoined returns a condition that is true once each of the nodes knows size members and trusts
// its view of the owners.
func (f *testFleet) haveJoined(nodes []*peer.Node, size int) func() bool {
	return func() bool {
		for _, node := range nodes {
			if v := node.Members(); len(v.Members) != size || !node.Owners().Trusted {
				return false
			}
		}
		return true
	}
}

// Guards against a fleet that does not work over mutual TLS: routers must join, agree on owners,
// grant slots, add up usage, distribute a revision and a notice, and know the mean load of a pool.
func TestFleetOverMutualTLS(t *testing.T) {
	c := quicktest.New(t)
	f := startFleet(c, 4, newCertAuthority(c).issueKeys(c, c.TempDir(), "router"))
	waitFor(f.haveJoined(f.nodes, 4))
	ctx := context.Background()
	for _, node := range f.nodes {
		c.Assert(node.Owners().EngineOwner("e0"), quicktest.Equals, f.nodes[0].Owners().EngineOwner("e0"))
	}

	grant, err := f.nodes[0].Take(ctx, "r2", peer.SlotRequest{Request: "q", Engine: "e0"})
	c.Assert(err, quicktest.IsNil)
	c.Assert(grant, quicktest.Equals, peer.SlotGrant{Slot: "r0/q", Lease: 10 * time.Second})
	_, err = f.nodes[0].Take(ctx, "r2", peer.SlotRequest{Engine: "full"})
	var refusal *outcome.Error
	c.Assert(errors.As(err, &refusal), quicktest.IsTrue)
	c.Assert(refusal.RetryAfter, quicktest.Equals, time.Second)
	c.Assert(f.nodes[0].Free(ctx, "r2", []string{"a"}, ""), quicktest.IsNil)
	lost, err := f.nodes[0].Renew(ctx, "r2", []string{"a", "b"})
	c.Assert(err, quicktest.IsNil)
	c.Assert(lost, quicktest.DeepEquals, []string{"b"})
	_, err = f.nodes[0].Take(ctx, "r9", peer.SlotRequest{})
	var unknown *peer.UnknownRouterError
	c.Assert(errors.As(err, &unknown), quicktest.IsTrue)

	totals, err := f.nodes[0].Usage(ctx, "r2", []limit.Demand{{Account: "co-op", Requests: 4}})
	c.Assert(err, quicktest.IsNil)
	c.Assert(totals, quicktest.DeepEquals, []limit.Total{{Demand: limit.Demand{Account: "co-op", Requests: 4}, Routers: 2}})

	content := []byte("accounts: []")
	m := revision.Manifest{Revision: 3, Files: []revision.File{{Name: "a.yaml", Digest: revision.Digest(content), Size: 12}}}
	c.Assert(f.nodes[1].Announce(ctx, m, [][]byte{content}), quicktest.IsNil)
	f.nodes[3].Broadcast(peer.Notice{Kind: "quarantine", Fingerprint: "f"})
	for i, node := range f.nodes {
		waitFor(func() bool { return node.Revision() == 3 })
		waitFor(func() bool {
			f.handlers[i].mu.Lock()
			defer f.handlers[i].mu.Unlock()
			return len(f.handlers[i].notices) == 1 && len(f.handlers[i].applied) == 1
		})
		c.Assert(string(f.handlers[i].contents[m.Files[0].Digest]), quicktest.Equals, "accounts: []")
		waitFor(func() bool { sum, ok := node.PoolLoad("chat"); return ok && sum.Mean() == 2 })
	}
	c.Assert(f.nodes[0].TrafficStats().ByMethod["ping"].Sent > 0, quicktest.IsTrue)

	f.stopNode(3)
	waitFor(f.haveJoined(f.nodes[:3], 3))
}

// Guards against a router that listens on a reachable address without mutual TLS.
func TestRunRefusesPublicAddressWithoutKeys(t *testing.T) {
	c := quicktest.New(t)
	err := (&peer.Node{ID: "a", Listen: "0.0.0.0:0"}).Run(context.Background())
	var insecure *peer.InsecureError
	c.Assert(errors.As(err, &insecure), quicktest.IsTrue)
	c.Assert(err, quicktest.ErrorMatches, `.*set the certificate, key and authority files.*`)
}

// Guards against routers that join a fleet with a certificate of another authority, with an
// operator's certificate or without TLS.
func TestUnauthorizedPeersAreRejected(t *testing.T) {
	c := quicktest.New(t)
	fleetAuthority := newCertAuthority(c)
	f := startFleet(c, 2, fleetAuthority.issueKeys(c, c.TempDir(), "router"))
	waitFor(f.haveJoined(f.nodes, 2))
	seeds := []string{f.nodes[0].Address(), f.nodes[1].Address()}
	f.addNode(c, 2, newCertAuthority(c).issueKeys(c, c.TempDir(), "router"), seeds)
	f.addNode(c, 3, fleetAuthority.issueKeys(c, c.TempDir(), "operator"), seeds)
	f.addNode(c, 4, nil, seeds)
	// Wait for 20 kB of traffic, so that the rejected routers have tried to join.
	receivedBefore := f.nodes[0].TrafficStats().Wire.Received
	waitFor(func() bool { return f.nodes[0].TrafficStats().Wire.Received > receivedBefore+20_000 })
	for _, node := range f.nodes[:2] {
		c.Assert(node.Members().Members, quicktest.HasLen, 2)
	}
}

// Guards against key files that take effect only after a restart, and against a bad file that
// replaces the keys in use.
func TestKeysReload(t *testing.T) {
	c := quicktest.New(t)
	ca := newCertAuthority(c)
	dir := c.TempDir()
	keys := ca.issueKeys(c, dir, "router")
	f := startFleet(c, 2, keys)
	waitFor(f.haveJoined(f.nodes, 2))
	good, err := os.ReadFile(filepath.Join(dir, "cert.pem"))
	c.Assert(err, quicktest.IsNil)
	c.Assert(os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("no certificate"), 0o600), quicktest.IsNil)
	var keyErr *peer.KeyError
	c.Assert(errors.As(keys.Reload(), &keyErr), quicktest.IsTrue)
	c.Assert(os.WriteFile(filepath.Join(dir, "cert.pem"), good, 0o600), quicktest.IsNil)
	c.Assert(keys.Reload(), quicktest.IsNil)
	f.addNode(c, 2, keys, []string{f.nodes[0].Address()})
	waitFor(f.haveJoined(f.nodes, 3))
}

// Guards against a router that fails to join because its first seed accepts connections but never
// answers.
func TestUnresponsiveSeedDoesNotBlockJoin(t *testing.T) {
	c := quicktest.New(t)
	f := startFleet(c, 3, nil)
	waitFor(f.haveJoined(f.nodes, 3))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer listener.Close()
	f.addNode(c, 3, nil, []string{listener.Addr().String(), f.nodes[0].Address()})
	waitFor(f.haveJoined(f.nodes, 4))
}
