package operator_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/timeline"
)

// fakeFleet implements the calls that the tests make.
type fakeFleet struct {
	operator.Fleet
	drained []operator.Target
	filter  timeline.Filter
}

func (f *fakeFleet) Status(context.Context) (operator.Status, error) {
	return operator.Status{Daemon: "r1", Revision: 4, Members: []operator.Member{{ID: "r1", State: "alive"}}}, nil
}

func (f *fakeFleet) Drain(_ context.Context, t operator.Target) (operator.Drained, error) {
	f.drained = append(f.drained, t)
	return operator.Drained{Target: t.Backend, State: "draining", Running: 2}, nil
}

func (f *fakeFleet) Where(context.Context, operator.Query) (operator.Where, error) {
	return operator.Where{}, &operator.Error{Code: operator.NotFound, Message: "model m is unknown", Remedy: "see GET /v1/models"}
}

func (f *fakeFleet) Timeline(_ context.Context, filter timeline.Filter) (operator.Timeline, error) {
	f.filter = filter
	return operator.Timeline{Events: []timeline.Event{{Daemon: "r1", Kind: timeline.Placed}}, Missing: []string{"r2"}}, nil
}

func (f *fakeFleet) Orders(context.Context) ([]operator.Order, error) {
	return nil, errors.New("loop is stuck")
}

func startServer(t *testing.T, f operator.Fleet, files settings.TLS) string {
	server := &operator.Server{Fleet: f, Settings: settings.Operator{Listen: "127.0.0.1:0", TLS: files}}
	qt.Assert(t, server.Open(), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	})
	return server.Address()
}

func newClient(t *testing.T, address string, files settings.TLS) *operator.Client {
	c, err := operator.NewClient(address, files, 10*time.Second)
	qt.Assert(t, err, qt.IsNil)
	return c
}

// Guards against results and errors that differ between daemon and client.
func TestClientCalls(t *testing.T) {
	c := qt.New(t)
	f := new(fakeFleet)
	client := newClient(t, startServer(t, f, settings.TLS{}), settings.TLS{})
	ctx := context.Background()

	status, err := client.Status(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(status.Revision, qt.Equals, int64(4))
	c.Assert(status.Members[0].ID, qt.Equals, "r1")

	drained, err := client.Drain(ctx, operator.Target{Backend: "e1", Reason: "repair"})
	c.Assert(err, qt.IsNil)
	c.Assert(drained.Running, qt.Equals, 2)
	c.Assert(f.drained, qt.DeepEquals, []operator.Target{{Backend: "e1", Reason: "repair"}})

	since := time.Date(2026, 3, 1, 8, 0, 0, 1000, time.UTC)
	line, err := client.Timeline(ctx, timeline.Filter{Chat: "a&b", Since: since})
	c.Assert(err, qt.IsNil)
	c.Assert(line.Missing, qt.DeepEquals, []string{"r2"})
	c.Assert(f.filter, qt.DeepEquals, timeline.Filter{Chat: "a&b", Since: since})

	for name, test := range map[string]struct {
		call func() error
		code operator.Code
	}{
		"typed error": {func() error { _, err := client.Where(ctx, operator.Query{Chat: "c"}); return err }, operator.NotFound},
		"other error": {func() error { _, err := client.Orders(ctx); return err }, operator.Internal},
		"no chat":     {func() error { _, err := client.Where(ctx, operator.Query{}); return err }, operator.Invalid},
		"no target":   {func() error { _, err := client.Drain(ctx, operator.Target{}); return err }, operator.Invalid},
	} {
		var failed *operator.Error
		c.Assert(errors.As(test.call(), &failed), qt.IsTrue, qt.Commentf(name))
		c.Assert(failed.Code, qt.Equals, test.code, qt.Commentf(name))
		c.Assert(failed.Remedy, qt.Not(qt.Equals), "", qt.Commentf(name))
	}
}

// Guards against cross-site request forgery: a web page in a browser on the instance posts a form
// to the loopback address.
func TestRefusesFormPost(t *testing.T) {
	f := new(fakeFleet)
	address := startServer(t, f, settings.TLS{})
	answer, err := http.Post("http://"+address+"/v1/drain", "text/plain", strings.NewReader(`{"self":true}`))
	qt.Assert(t, err, qt.IsNil)
	defer answer.Body.Close()
	qt.Assert(t, answer.StatusCode, qt.Equals, http.StatusBadRequest)
	qt.Assert(t, f.drained, qt.HasLen, 0)
}

// Guards against an operator API that is reachable from the network without TLS client
// authentication.
func TestRefusesNonLoopbackWithoutTLS(t *testing.T) {
	for name, listen := range map[string]string{"all interfaces": "0.0.0.0:0", "all IPv6 interfaces": "[::]:0", "not loopback": "192.0.2.1:0", "host name": "localhost:0"} {
		t.Run(name, func(t *testing.T) {
			server := &operator.Server{Fleet: new(fakeFleet), Settings: settings.Operator{Listen: listen}}
			var exposed *operator.ExposedError
			qt.Assert(t, errors.As(server.Open(), &exposed), qt.IsTrue)
			qt.Assert(t, exposed.Error(), qt.Contains, "operator.tls")
		})
	}
}

// Guards against changes by viewers, and against calls without a valid certificate or a role.
func TestRoles(t *testing.T) {
	c := qt.New(t)
	ca := newCertificateAuthority(t)
	f := new(fakeFleet)
	address := startServer(t, f, ca.issue(t, "r1", ""))
	ctx := context.Background()
	for name, test := range map[string]struct {
		files       settings.TLS
		read, drain operator.Code
	}{
		"operator":        {ca.issue(t, "ann", "operator"), "", ""},
		"viewer":          {ca.issue(t, "ben", "viewer"), "", operator.Forbidden},
		"no role":         {ca.issue(t, "cat", "sales"), operator.Unauthenticated, operator.Unauthenticated},
		"other authority": {newCertificateAuthority(t).issue(t, "dan", "operator"), operator.Unavailable, operator.Unavailable},
		"no certificate":  {settings.TLS{}, operator.Unauthenticated, operator.Unauthenticated},
	} {
		client := newClient(t, address, test.files)
		_, err := client.Status(ctx)
		c.Assert(errorCode(err), qt.Equals, test.read, qt.Commentf(name))
		_, err = client.Drain(ctx, operator.Target{Self: true})
		c.Assert(errorCode(err), qt.Equals, test.drain, qt.Commentf(name))
	}
	c.Assert(f.drained, qt.HasLen, 1)
}

func errorCode(err error) operator.Code {
	var failed *operator.Error
	if errors.As(err, &failed) {
		return failed.Code
	}
	return ""
}

type certificateAuthority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	der         []byte
}

func newCertificateAuthority(t *testing.T) certificateAuthority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	qt.Assert(t, err, qt.IsNil)
	certificate, err := x509.ParseCertificate(der)
	qt.Assert(t, err, qt.IsNil)
	return certificateAuthority{certificate, key, der}
}

func (a certificateAuthority) issue(t *testing.T, name, unit string) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name, OrganizationalUnit: []string{unit}},
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	qt.Assert(t, err, qt.IsNil)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	qt.Assert(t, err, qt.IsNil)
	dir := t.TempDir()
	write := func(file, kind string, content []byte) string {
		path := filepath.Join(dir, file)
		qt.Assert(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600), qt.IsNil)
		return path
	}
	return settings.TLS{
		Cert: write("cert.pem", "CERTIFICATE", der),
		Key:  write("key.pem", "PRIVATE KEY", private),
		CA:   write("ca.pem", "CERTIFICATE", a.der),
	}
}
