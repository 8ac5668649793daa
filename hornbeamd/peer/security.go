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

// Role determines what the holder of a certificate may do.
type Role string

// The roles. A certificate names its role in the organizational unit (OU) of its subject or in the
// last path segment of a URI subject alternative name such as spiffe://fleet/role/router.
const (
	RoleRouter   Role = "router"
	RoleOperator Role = "operator"
)

// RoleOf returns the role that a certificate names. The error is a *RoleError.
func RoleOf(cert *x509.Certificate) (Role, error) {
	roles := slices.Clone(cert.Subject.OrganizationalUnit)
	for _, uri := range cert.URIs {
		roles = append(roles, uri.Path[strings.LastIndexByte(uri.Path, '/')+1:])
	}
	for _, role := range []Role{RoleRouter, RoleOperator} {
		if slices.Contains(roles, string(role)) {
			return role, nil
		}
	}
	return "", &RoleError{Subject: cert.Subject.String()}
}

// RoleError is returned if a certificate does not name the required role.
type RoleError struct {
	Subject string
	// Role is the role that the certificate names, empty for none. Need is the required role.
	Role, Need Role
}

func (e *RoleError) Error() string {
	need := e.Need
	if need == "" {
		need = RoleRouter
	}
	return fmt.Sprintf("certificate %q has role %q: issue it with organizational unit (OU) %q", e.Subject, e.Role, need)
}

// InsecureError is returned if a router would listen for peers without mutual TLS on an address
// that is not a loopback address.
type InsecureError struct{ Address string }

func (e *InsecureError) Error() string {
	return fmt.Sprintf("peer address %s is not a loopback address and no keys are set: "+
		"set the certificate, key and authority files, or listen on 127.0.0.1", e.Address)
}

// KeyError is returned if a key file cannot be loaded.
type KeyError struct {
	Path  string
	Cause error
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("cannot load key file %s: %v: provide a PEM certificate, its key and the fleet's authority, then reload", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Cause }

// Keys holds the certificate, private key and authorities of a router for mutual TLS. New
// connections use the files as last loaded.
type Keys struct {
	certificate, key, authority string
	current                     atomic.Pointer[keyMaterial]
}

// keyMaterial is the parsed content of the key files.
type keyMaterial struct {
	keyPair     tls.Certificate
	authorities *x509.CertPool
}

// LoadKeys reads PEM files: a certificate chain, its private key and the authorities of the fleet.
// Errors are *KeyError.
func LoadKeys(certificate, key, authority string) (*Keys, error) {
	k := &Keys{certificate: certificate, key: key, authority: authority}
	return k, k.Reload()
}

// Reload reads the files again. On error the current keys stay in use.
func (k *Keys) Reload() error {
	keyPair, err := tls.LoadX509KeyPair(k.certificate, k.key)
	if err != nil {
		return &KeyError{k.certificate, eris.Wrap(err, "cannot load the key pair")}
	}
	authorityPEM, err := os.ReadFile(k.authority)
	if err != nil {
		return &KeyError{k.authority, eris.Wrap(err, "cannot read the certificate authorities")}
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(authorityPEM) {
		return &KeyError{k.authority, eris.New("file contains no PEM certificate")}
	}
	k.current.Store(&keyMaterial{keyPair, authorities})
	return nil
}

// ServerConfig returns the TLS configuration of a listener that accepts clients with one of the
// given roles.
func (k *Keys) ServerConfig(roles ...Role) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := k.current.Load()
		c := base.Clone()
		c.GetConfigForClient = nil
		c.Certificates = []tls.Certificate{current.keyPair}
		c.ClientCAs = current.authorities
		c.ClientAuth = tls.RequireAndVerifyClientCert
		// A session ticket would contain the client's certificate chain and cost more than
		// resumption saves, because peers keep their connections open.
		c.SessionTicketsDisabled = true
		c.VerifyConnection = func(s tls.ConnectionState) error { return checkRole(s, roles) }
		return c, nil
	}
	return base
}

// ClientConfig returns the TLS configuration for connections to routers. The addresses of instances
// change with the instances, so a router is identified by the fleet's certificate authority and its
// role, not by a host name.
func (k *Keys) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().keyPair, nil
		},
		// VerifyConnection verifies the certificate chain instead, without checking the host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if err := verifyChain(s, k.current.Load().authorities); err != nil {
				return err
			}
			return checkRole(s, []Role{RoleRouter})
		},
	}
}

func verifyChain(s tls.ConnectionState, authorities *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return &RoleError{Need: RoleRouter}
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return eris.Wrap(err, "peer certificate is not signed by an authority of this fleet: check the authority files of both routers")
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

// checkAddress returns *InsecureError if keys is nil and the address is not a loopback address.
func checkAddress(address string, keys *Keys) error {
	if keys != nil {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return eris.Wrapf(err, "peer address %q is not of the form ip:port", address)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return &InsecureError{address}
	}
	return nil
}
