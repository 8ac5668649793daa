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

// writeCertificate writes the certificate and the private key of an httptest server to files and
// returns their paths. The certificate is valid for 127.0.0.1.
func writeCertificate(c *qt.C, server *httptest.Server) (certFile, keyFile string) {
	pair := server.TLS.Certificates[0]
	keyDER, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	c.Assert(err, qt.IsNil)
	dir := c.TempDir()
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	c.Assert(os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: pair.Certificate[0]}), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600), qt.IsNil)
	return certFile, keyFile
}

// Guards against a response that is not encrypted or that TLS truncates, and against a router that
// no longer serves its last valid certificate after a renewal has written damaged files.
func TestCallerTLS(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	tlsServer := httptest.NewTLSServer(http.NotFoundHandler())
	defer tlsServer.Close()
	certFile, keyFile := writeCertificate(c, tlsServer)
	certificate, err := caller.LoadCertificate(certFile, keyFile)
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go f.router.Serve(certificate.Listener(listener))

	stream := func() (string, error) {
		f.url = "https://" + listener.Addr().String()
		resp, err := tlsServer.Client().Do(f.request("POST", "/v1/chat/completions", chatBody(prompt, true)))
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
	c.Assert(text, qt.Equals, wantText)

	c.Assert(os.WriteFile(certFile, []byte("damaged"), 0o600), qt.IsNil)
	c.Assert(certificate.Reload(), qt.ErrorMatches, "caller.tls.cert .* set readable PEM files that belong together.*")
	tlsServer.Client().CloseIdleConnections()
	text, err = stream()
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, wantText)

	resp, err := http.Get(strings.Replace(f.url, "https", "http", 1) + "/v1/models")
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusBadRequest)
}

// Guards against callers that open more connections than MaxConnections. The router must reject a
// request on an excess connection with the outcome "not run", and serve requests again after
// connections have been closed.
func TestConnectionLimit(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, func(o *caller.Options, _ *modelengine.Config) { o.MaxConnections = 2 })
	var openConns []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		openConns = append(openConns, conn)
	}
	// The kernel accepts connections before the router counts them, so wait for the count. The
	// connection that reads the metrics is the third.
	waitUntil(func() bool {
		return strings.Contains(send(f.request("GET", "/metrics", "")).body, "hornbeam_caller_connections 3")
	})
	got := send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true)))
	c.Assert(got.failure.Error.Code, qt.Equals, "overloaded")
	c.Assert(got.failure.Error.Outcome, qt.Equals, "not run")
	for _, conn := range openConns {
		conn.Close()
	}
	waitUntil(func() bool {
		return send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true))).text == wantText
	})
}
