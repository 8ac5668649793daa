package caller

import (
	"crypto/tls"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Certificate is the TLS certificate that the router presents to callers. Callers authenticate with
// the API keys of their client accounts, so the server requests no client certificates.
type Certificate struct {
	certFile, keyFile string
	// current is the certificate of the last successful load.
	current atomic.Pointer[tls.Certificate]
}

// LoadCertificate loads a certificate chain and its private key from PEM files.
func LoadCertificate(certFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile}
	return c, c.Reload()
}

// Reload loads the files again. After an error the previous certificate stays in use.
func (c *Certificate) Reload() error {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return eris.Wrapf(err,
			"caller.tls.cert %s and caller.tls.key %s can't be used: set readable PEM files that belong together",
			c.certFile, c.keyFile)
	}
	c.current.Store(&pair)
	return nil
}

// Listener wraps a listener with TLS. It offers HTTP/1.1 only, because the limit on connections and
// the write deadlines for slow callers assume one request at a time on each connection.
func (c *Certificate) Listener(inner net.Listener) net.Listener {
	return tls.NewListener(inner, &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current.Load(), nil
		},
	})
}
