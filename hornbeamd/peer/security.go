package peer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Role is what the holder of a certificate may do.
type Role string

// The roles. A certificate names its role as organisational unit of its subject, or as last part of a URI name such as
// spiffe://fleet/role/router.
const (
	RoleRouter   Role = "router"
	RoleOperator Role = "operator"
)

// RoleOf returns the role that a certificate names. The error is a *RoleError.
func RoleOf(cert *x509.Certificate) (Role, error) {
	names := slices.Clone(cert.Subject.OrganizationalUnit)
	for _, uri := range cert.URIs {
		names = append(names, uri.Path[strings.LastIndexByte(uri.Path, '/')+1:])
	}
	for _, role := range []Role{RoleRouter, RoleOperator} {
		if slices.Contains(names, string(role)) {
			return role, nil
		}
	}
	return "", &RoleError{Subject: cert.Subject.String()}
}

// RoleError says that a certificate lacks the role that is needed.
type RoleError struct {
	Subject string
	// Role is the role that the certificate names, empty for none; Need is the one that is needed.
	Role, Need Role
}

func (e *RoleError) Error() string {
	need := e.Need
	if need == "" {
		need = RoleRouter
	}
	return fmt.Sprintf("certificate %q has role %q: issue it with organisational unit %q", e.Subject, e.Role, need)
}

// InsecureError says that a router would listen for its peers without mutual TLS on an address that others can reach.
type InsecureError struct{ Address string }

func (e *InsecureError) Error() string {
	return fmt.Sprintf("peer address %s is not a loopback address and no keys are set: "+
		"set the certificate, key and authority files, or listen on 127.0.0.1", e.Address)
}

// KeyError says that key files cannot be used.
type KeyError struct {
	Path  string
	Cause error
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("key file %s: %v: write a PEM certificate, its key and the fleet's authority, then reload", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Cause }

// Keys are the keys of a router for mutual TLS. New connections use what was read last.
type Keys struct {
	certificate, key, authority string
	current                     atomic.Pointer[material]
}

// material is one state of the files.
type material struct {
	pair tls.Certificate
	pool *x509.CertPool
}

// LoadKeys reads PEM files: a certificate chain, its private key and the authorities of the fleet. Errors are *KeyError.
func LoadKeys(certificate, key, authority string) (*Keys, error) {
	k := &Keys{certificate: certificate, key: key, authority: authority}
	return k, k.Reload()
}

// Reload reads the files again. On error the keys in use stay.
func (k *Keys) Reload() error {
	pair, err := tls.LoadX509KeyPair(k.certificate, k.key)
	if err != nil {
		return &KeyError{k.certificate, eris.Wrap(err, "cannot load the key pair")}
	}
	pem, err := os.ReadFile(k.authority)
	if err != nil {
		return &KeyError{k.authority, eris.Wrap(err, "cannot read the authorities")}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return &KeyError{k.authority, eris.New("no certificate found")}
	}
	k.current.Store(&material{pair, pool})
	return nil
}

// Server returns the configuration for a listener that admits the given roles.
func (k *Keys) Server(roles ...Role) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m := k.current.Load()
		c := base.Clone()
		c.GetConfigForClient = nil
		c.Certificates = []tls.Certificate{m.pair}
		c.ClientCAs = m.pool
		c.ClientAuth = tls.RequireAndVerifyClientCert
		// A ticket would hold the client's chain and cost more than a handshake saves; peers keep their connections.
		c.SessionTicketsDisabled = true
		c.VerifyConnection = func(s tls.ConnectionState) error { return checkRole(s, roles) }
		return c, nil
	}
	return base
}

// Client returns the configuration for connections to routers. Instances come and go with their addresses, so a router is
// identified by the fleet's authority and its role, not by a host name.
func (k *Keys) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().pair, nil
		},
		// VerifyConnection verifies the chain instead, without a host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if err := verifyChain(s, k.current.Load().pool); err != nil {
				return err
			}
			return checkRole(s, []Role{RoleRouter})
		},
	}
}

func verifyChain(s tls.ConnectionState, pool *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return &RoleError{Need: RoleRouter}
	}
	between := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return eris.Wrap(err, "the peer's certificate is not of this fleet: check the authority files of both")
}

func checkRole(s tls.ConnectionState, roles []Role) error {
	if len(s.PeerCertificates) == 0 {
		return &RoleError{Need: roles[0]}
	}
	role, err := RoleOf(s.PeerCertificates[0])
	if err != nil {
		return err
	}
	if !slices.Contains(roles, role) {
		return &RoleError{Subject: s.PeerCertificates[0].Subject.String(), Role: role, Need: roles[0]}
	}
	return nil
}

// checkAddress refuses to listen without keys where others can connect.
func checkAddress(address string, keys *Keys) error {
	if keys != nil {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return eris.Wrapf(err, "peer address %q must be ip:port", address)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return &InsecureError{address}
	}
	return nil
}
