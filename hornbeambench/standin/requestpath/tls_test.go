package requestpath

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeamd/caller"
)

// writeIdentity writes the certificate and key of httptest, which is valid for 127.0.0.1.
func writeIdentity(c *qt.C, server *httptest.Server) (cert, key string) {
	pair := server.TLS.Certificates[0]
	raw, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	c.Assert(err, qt.IsNil)
	dir := c.TempDir()
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	c.Assert(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: pair.Certificate[0]}), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), 0o600), qt.IsNil)
	return cert, key
}

// Guards against an answer that is not encrypted or is cut by the encryption, and against a certificate that is lost when its
// files are damaged during a renewal.
func TestCallerTLS(t *testing.T) {
	c := qt.New(t)
	f := start(t)
	identity := httptest.NewTLSServer(http.NotFoundHandler())
	defer identity.Close()
	cert, private := writeIdentity(c, identity)
	certificate, err := caller.LoadCertificate(cert, private)
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go f.router.Serve(certificate.Listener(listener))

	stream := func() (string, error) {
		f.url = "https://" + listener.Addr().String()
		resp, err := identity.Client().Do(f.request("POST", "/v1/chat/completions", chatBody(prompt, true)))
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		c.Assert(resp.TLS.Version >= tls.VersionTLS12, qt.IsTrue)
		c.Assert(resp.ProtoMajor, qt.Equals, 1)
		got := received{}
		got.readStream(resp.Body)
		return got.text, nil
	}
	text, err := stream()
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, wanted)

	c.Assert(os.WriteFile(cert, []byte("damaged"), 0o600), qt.IsNil)
	c.Assert(certificate.Reload(), qt.ErrorMatches, "caller.tls.cert .* set readable PEM files that belong together.*")
	identity.Client().CloseIdleConnections()
	text, err = stream()
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, wanted)

	resp, err := http.Get(strings.Replace(f.url, "https", "http", 1) + "/v1/models")
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusBadRequest)
}

// Guards against callers who hold more connections than the router is set to serve: the request on one too many is refused
// as not run and its connection closed, and the next is served once there is room.
func TestConnectionLimit(t *testing.T) {
	c := qt.New(t)
	f := start(t, func(o *caller.Options, _ *modelengine.Config) { o.MaxConnections = 2 })
	var held []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		held = append(held, conn)
	}
	// The kernel accepts connections before the router counts them. The one that reads the metrics is the third.
	eventually(func() bool {
		return strings.Contains(send(f.request("GET", "/metrics", "")).body, "hornbeam_caller_connections 3")
	})
	got := send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true)))
	c.Assert(got.failure.Error.Code, qt.Equals, "overloaded")
	c.Assert(got.failure.Error.Outcome, qt.Equals, "not run")
	for _, conn := range held {
		conn.Close()
	}
	eventually(func() bool {
		return send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true))).text == wanted
	})
}
