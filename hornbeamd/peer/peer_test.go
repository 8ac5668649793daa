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

// authority issues certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(c *quicktest.C) *authority {
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
	return &authority{cert, key}
}

// issue writes the key files of a holder with a role.
func (a *authority) issue(c *quicktest.C, dir, role string) *peer.Keys {
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

// fake handles everything that a node hands out.
type fake struct {
	mu       sync.Mutex
	freed    []string
	notices  []peer.Notice
	applied  []int64
	contents map[string][]byte
}

func (f *fake) Take(_ context.Context, from string, a peer.SlotAsk) (peer.SlotGrant, error) {
	if a.Engine == "full" {
		return peer.SlotGrant{}, &outcome.Error{Code: outcome.QueueFull, Outcome: outcome.NotRun, RetryAfter: time.Second, Remedy: "wait"}
	}
	return peer.SlotGrant{Slot: from + "/" + a.Request, Lease: 10 * time.Second}, nil
}

func (f *fake) Free(_ context.Context, _ string, slots []string, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, slots...)
	return nil
}

func (f *fake) Abandon(context.Context, string, []string) error { return nil }

func (f *fake) Renew(_ context.Context, _ string, slots []string) ([]string, error) {
	return slots[1:], nil
}

func (f *fake) Loads() map[string]loadsum.Sum {
	return map[string]loadsum.Sum{"chat": {Load: 4, Count: 2}}
}

func (f *fake) Report(router string, demands []limit.Demand) []limit.Total {
	var totals []limit.Total
	for _, d := range demands {
		totals = append(totals, limit.Total{Demand: d, Routers: len(router)})
	}
	return totals
}

func (f *fake) Notice(n peer.Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notices = append(f.notices, n)
}

func (f *fake) Apply(_ context.Context, m revision.Manifest, contents map[string][]byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = append(f.applied, m.Revision)
	f.contents = contents
	return nil
}

type fleet struct {
	nodes   []*peer.Node
	fakes   []*fake
	cancels []context.CancelFunc
	ended   []chan error
}

func startFleet(c *quicktest.C, n int, keys *peer.Keys) *fleet {
	f := &fleet{}
	var seeds []string
	for i := range n {
		f.add(c, i, keys, seeds)
		seeds = append(seeds, f.nodes[i].Address())
	}
	c.Cleanup(func() {
		for i := range f.cancels {
			f.stop(i)
		}
	})
	return f
}

func (f *fleet) add(c *quicktest.C, i int, keys *peer.Keys, seeds []string) {
	h := &fake{}
	x := &peer.Node{
		ID: fmt.Sprint("r", len(f.nodes)), Zone: fmt.Sprint("z", i%2), Region: "g", Listen: "127.0.0.1:0", Keys: keys, Seeds: seeds,
		Slots: h, Loads: h, Usages: h, Notices: h, Revisions: h,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- x.Run(ctx) }()
	<-x.Ready()
	x.Assign([]owner.Engine{{ID: "e0", Zone: "z0"}, {ID: "e1", Zone: "z1"}}, []string{"chat"})
	f.nodes, f.fakes = append(f.nodes, x), append(f.fakes, h)
	f.cancels, f.ended = append(f.cancels, cancel), append(f.ended, ended)
}

func (f *fleet) stop(i int) {
	f.cancels[i]()
	if f.ended[i] != nil {
		<-f.ended[i]
		f.ended[i] = nil
	}
}

// wait returns when the condition is true. It has no bound of its own: the test's time limit ends it.
func wait(met func() bool) {
	for !met() {
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) complete(nodes []*peer.Node, size int) func() bool {
	return func() bool {
		for _, x := range nodes {
			if v := x.Members(); len(v.Members) != size || !x.Owners().Trusted {
				return false
			}
		}
		return true
	}
}

// Guards against a fleet over mutual TLS that does not form, exchange slots and revisions, spread notices and know its means.
func TestFleetOverMutualTLS(t *testing.T) {
	c := quicktest.New(t)
	f := startFleet(c, 4, newAuthority(c).issue(c, c.TempDir(), "router"))
	wait(f.complete(f.nodes, 4))
	ctx := context.Background()
	for _, x := range f.nodes {
		c.Assert(x.Owners().EngineOwner("e0"), quicktest.Equals, f.nodes[0].Owners().EngineOwner("e0"))
	}

	grant, err := f.nodes[0].Take(ctx, "r2", peer.SlotAsk{Request: "q", Engine: "e0"})
	c.Assert(err, quicktest.IsNil)
	c.Assert(grant, quicktest.Equals, peer.SlotGrant{Slot: "r0/q", Lease: 10 * time.Second})
	_, err = f.nodes[0].Take(ctx, "r2", peer.SlotAsk{Engine: "full"})
	var refused *outcome.Error
	c.Assert(errors.As(err, &refused), quicktest.IsTrue)
	c.Assert(refused.RetryAfter, quicktest.Equals, time.Second)
	c.Assert(f.nodes[0].Free(ctx, "r2", []string{"a"}, ""), quicktest.IsNil)
	lost, err := f.nodes[0].Renew(ctx, "r2", []string{"a", "b"})
	c.Assert(err, quicktest.IsNil)
	c.Assert(lost, quicktest.DeepEquals, []string{"b"})
	_, err = f.nodes[0].Take(ctx, "r9", peer.SlotAsk{})
	var unknown *peer.UnknownRouterError
	c.Assert(errors.As(err, &unknown), quicktest.IsTrue)

	totals, err := f.nodes[0].Usage(ctx, "r2", []limit.Demand{{Account: "co-op", Requests: 4}})
	c.Assert(err, quicktest.IsNil)
	c.Assert(totals, quicktest.DeepEquals, []limit.Total{{Demand: limit.Demand{Account: "co-op", Requests: 4}, Routers: 2}})

	content := []byte("accounts: []")
	m := revision.Manifest{Revision: 3, Files: []revision.File{{Name: "a.yaml", Digest: revision.Digest(content), Size: 12}}}
	c.Assert(f.nodes[1].Announce(ctx, m, [][]byte{content}), quicktest.IsNil)
	f.nodes[3].Spread(peer.Notice{Kind: "quarantine", Fingerprint: "f"})
	for i, x := range f.nodes {
		wait(func() bool { return x.Revision() == 3 })
		wait(func() bool {
			f.fakes[i].mu.Lock()
			defer f.fakes[i].mu.Unlock()
			return len(f.fakes[i].notices) == 1 && len(f.fakes[i].applied) == 1
		})
		c.Assert(string(f.fakes[i].contents[m.Files[0].Digest]), quicktest.Equals, "accounts: []")
		wait(func() bool { sum, ok := x.Sum("chat"); return ok && sum.Mean() == 2 })
	}
	c.Assert(f.nodes[0].Bytes().Kinds["ping"].Sent > 0, quicktest.IsTrue)

	f.stop(3)
	wait(f.complete(f.nodes[:3], 3))
}

// Guards against routers that listen for others without mutual TLS.
func TestRefusesToStartWithoutKeys(t *testing.T) {
	c := quicktest.New(t)
	err := (&peer.Node{ID: "a", Listen: "0.0.0.0:0"}).Run(context.Background())
	var insecure *peer.InsecureError
	c.Assert(errors.As(err, &insecure), quicktest.IsTrue)
	c.Assert(err, quicktest.ErrorMatches, `.*set the certificate, key and authority files.*`)
}

// Guards against peers of another fleet, operators' certificates, and plain connections in the fleet.
func TestStrangersAreNotAdmitted(t *testing.T) {
	c := quicktest.New(t)
	fleetAuthority := newAuthority(c)
	f := startFleet(c, 2, fleetAuthority.issue(c, c.TempDir(), "router"))
	wait(f.complete(f.nodes, 2))
	seeds := []string{f.nodes[0].Address(), f.nodes[1].Address()}
	f.add(c, 2, newAuthority(c).issue(c, c.TempDir(), "router"), seeds)
	f.add(c, 3, fleetAuthority.issue(c, c.TempDir(), "operator"), seeds)
	f.add(c, 4, nil, seeds)
	before := f.nodes[0].Bytes().Wire.Received
	wait(func() bool { return f.nodes[0].Bytes().Wire.Received > before+20_000 })
	for _, x := range f.nodes[:2] {
		c.Assert(x.Members().Members, quicktest.HasLen, 2)
	}
}

// Guards against keys that need a restart, and against losing the keys in use by a bad file.
func TestReloadOfKeys(t *testing.T) {
	c := quicktest.New(t)
	a := newAuthority(c)
	dir := c.TempDir()
	keys := a.issue(c, dir, "router")
	f := startFleet(c, 2, keys)
	wait(f.complete(f.nodes, 2))
	good, err := os.ReadFile(filepath.Join(dir, "cert.pem"))
	c.Assert(err, quicktest.IsNil)
	c.Assert(os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("no certificate"), 0o600), quicktest.IsNil)
	var bad *peer.KeyError
	c.Assert(errors.As(keys.Reload(), &bad), quicktest.IsTrue)
	c.Assert(os.WriteFile(filepath.Join(dir, "cert.pem"), good, 0o600), quicktest.IsNil)
	c.Assert(keys.Reload(), quicktest.IsNil)
	f.add(c, 2, keys, []string{f.nodes[0].Address()})
	wait(f.complete(f.nodes, 3))
}

// Guards against waiting on a connection that accepts and then stays silent for good.
func TestSilentConnectionIsReplaced(t *testing.T) {
	c := quicktest.New(t)
	f := startFleet(c, 3, nil)
	wait(f.complete(f.nodes, 3))
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer silent.Close()
	f.add(c, 3, nil, []string{silent.Addr().String(), f.nodes[0].Address()})
	wait(f.complete(f.nodes, 4))
}
