package command_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamctl/command"
	"hornbeamstep.example/hornbeamctl/exit"
	"hornbeamstep.example/hornbeamd/daemon"
	"hornbeamstep.example/hornbeamd/settings"
)

// authority is a certificate authority for tests.
type authority struct {
	key      *ecdsa.PrivateKey
	template *x509.Certificate
	file     string
}

func newAuthority(c *qt.C) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	a := authority{key: key, template: &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}}
	der, err := x509.CreateCertificate(rand.Reader, a.template, a.template, key.Public(), key)
	c.Assert(err, qt.IsNil)
	a.file = writePEM(c, c.TempDir(), "ca.pem", "CERTIFICATE", der)
	return a
}

func writePEM(c *qt.C, folder, name, kind string, content []byte) string {
	path := filepath.Join(folder, name)
	c.Assert(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600), qt.IsNil)
	return path
}

// issue writes a certificate with a role, its private key, and returns their paths. The certificate
// expires after the given duration.
func (a authority) issue(c *qt.C, role string, valid time.Duration) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "ann", OrganizationalUnit: []string{role}},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: time.Now().Add(valid), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, a.template, key.Public(), a.key)
	c.Assert(err, qt.IsNil)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	c.Assert(err, qt.IsNil)
	folder := c.TempDir()
	return settings.TLS{
		Cert: writePEM(c, folder, "cert.pem", "CERTIFICATE", der),
		Key:  writePEM(c, folder, "key.pem", "PRIVATE KEY", private),
		CA:   a.file,
	}
}

// runDaemon runs a daemon until the test ends and returns its operator address. The platform is
// unreachable, and operators need a client certificate.
func runDaemon(c *qt.C, files settings.TLS) (address string) {
	s, err := settings.Default("r1", "z1")
	c.Assert(err, qt.IsNil)
	s.Caller.Listen, s.Peer.Listen, s.Operator.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Platform.Objects, s.Platform.Instances = "http://127.0.0.1:1", "http://127.0.0.1:1"
	s.Caller.Lifetime = time.Millisecond
	s.Operator.TLS = files
	d := &daemon.Daemon{Settings: s}
	c.Assert(d.Open(), qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	c.Cleanup(func() {
		stop()
		c.Check(<-ended, qt.IsNil)
	})
	<-d.Ready()
	_, _, address = d.Addresses()
	return address
}

// The daemon must reject clients without a certificate, with one from another authority or with an
// expired one, and must not accept changes from a viewer. hornbeamctl must reject a daemon whose
// certificate comes from another authority.
func TestTLSAgainstARunningDaemon(t *testing.T) {
	c := qt.New(t)
	ours, theirs := newAuthority(c), newAuthority(c)
	address := runDaemon(c, ours.issue(c, "router", time.Hour))
	wrongCA := ours.issue(c, "operator", time.Hour)
	wrongCA.CA = theirs.file
	untrusted := theirs.issue(c, "operator", time.Hour)
	untrusted.CA = ours.file
	cases := map[string]struct {
		files        settings.TLS
		read, change exit.Code
		message      string
	}{
		"operator":            {ours.issue(c, "operator", time.Hour), exit.OK, exit.NotFound, ""},
		"viewer":              {ours.issue(c, "viewer", time.Hour), exit.OK, exit.NotAllowed, "may only read"},
		"no role":             {ours.issue(c, "sales", time.Hour), exit.NotAllowed, exit.NotAllowed, "names no role"},
		"expired":             {ours.issue(c, "operator", -time.Hour), exit.Unavailable, exit.Unavailable, ""},
		"wrong authority":     {untrusted, exit.Unavailable, exit.Unavailable, ""},
		"daemon not trusted":  {wrongCA, exit.Unavailable, exit.Unavailable, "certificate"},
		"without certificate": {settings.TLS{}, exit.NotAllowed, exit.NotAllowed, "set --tls-cert"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			ctl := func(args ...string) (exit.Code, string) {
				args = append(args, "--address="+address)
				if test.files.Cert != "" {
					args = append(args, "--tls-cert="+test.files.Cert, "--tls-key="+test.files.Key, "--tls-ca="+test.files.CA)
				}
				var out, errs bytes.Buffer
				code := command.Main(context.Background(), args, command.Streams{In: new(bytes.Buffer), Out: &out, Err: &errs}, nil)
				return code, errs.String()
			}
			code, errs := ctl("orders")
			qt.Check(t, code, qt.Equals, test.read, qt.Commentf("%s", errs))
			code, errs = ctl("drain", "nobody", "--yes")
			qt.Check(t, code, qt.Equals, test.change, qt.Commentf("%s", errs))
			qt.Check(t, errs, qt.Contains, test.message)
			t.Logf("%d %s", code, errs)
		})
	}
}
