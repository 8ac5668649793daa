package caller

import (
	"crypto/tls"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Certificate is the router's identity towards callers. Callers identify themselves by the keys of their client accounts,
// so no certificate of theirs is asked for.
type Certificate struct {
	cert, key string
	// pair is the latest that was read without error.
	pair atomic.Pointer[tls.Certificate]
}

// LoadCertificate reads a certificate chain and its private key, both PEM.
func LoadCertificate(cert, key string) (*Certificate, error) {
	c := &Certificate{cert: cert, key: key}
	return c, c.Reload()
}

// Reload reads the files again. After an error the previous identity stays in use.
func (c *Certificate) Reload() error {
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return eris.Wrapf(err, "caller.tls.cert %s and caller.tls.key %s can't be used: set readable PEM files that belong together", c.cert, c.key)
	}
	c.pair.Store(&pair)
	return nil
}

// Listener returns a listener whose connections are encrypted. It offers HTTP/1.1 only, because the bounds on connections
// and the limits on slow readers count one request for each connection.
func (c *Certificate) Listener(inner net.Listener) net.Listener {
	return tls.NewListener(inner, &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.pair.Load(), nil
		},
	})
}
