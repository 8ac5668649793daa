package operator

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"

	"hornbeamstep.example/hornbeamd/settings"
)

// Role is what an operator may do.
type Role string

// The roles. An operator's certificate names them as organizational units of its subject.
const (
	// Viewer may read.
	Viewer Role = "viewer"
	// Operator may read and change.
	Operator Role = "operator"
)

// identity returns the caller's name and role. Without TLS the listener is on a loopback address, where whoever is on the
// instance may do everything.
func identity(r *http.Request) (name string, role Role) {
	if r.TLS == nil {
		return "local", Operator
	}
	if len(r.TLS.VerifiedChains) == 0 {
		return "", ""
	}
	subject := r.TLS.PeerCertificates[0].Subject
	for _, candidate := range []Role{Operator, Viewer} {
		if slices.Contains(subject.OrganizationalUnit, string(candidate)) {
			return subject.CommonName, candidate
		}
	}
	return subject.CommonName, ""
}

// authorize returns *Error unless the caller of r has the role.
func authorize(r *http.Request, need Role) error {
	name, role := identity(r)
	if role == "" {
		return &Error{
			Code:    Unauthenticated,
			Message: fmt.Sprintf("certificate of %q names no role", name),
			Remedy:  "use a certificate whose subject has the organizational unit viewer or operator",
		}
	}
	if need == Operator && role != Operator {
		return &Error{
			Code:    Forbidden,
			Message: fmt.Sprintf("%q may only read", name),
			Remedy:  "use a certificate whose subject has the organizational unit operator",
		}
	}
	return nil
}

// checkExposure returns *ExposedError if the interface would be open to the network without keys.
func checkExposure(listen string, files settings.TLS) error {
	if files != (settings.TLS{}) {
		return nil
	}
	host, _, err := net.SplitHostPort(listen)
	if err != nil || !net.ParseIP(host).IsLoopback() {
		return &ExposedError{Listen: listen}
	}
	return nil
}

// serverTLS returns a configuration that reads the files at each handshake, so that renewed certificates need no restart.
// It is nil without files.
func serverTLS(files settings.TLS) (*tls.Config, error) {
	if files == (settings.TLS{}) {
		return nil, nil
	}
	if _, err := readTLS(files); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			config, err := readTLS(files)
			if err != nil {
				return nil, err
			}
			config.ClientAuth = tls.RequireAndVerifyClientCert
			config.NextProtos = []string{"h2", "http/1.1"}
			return config, nil
		},
	}, nil
}

// readTLS reads an identity and the authorities of the other side, for servers and clients.
func readTLS(files settings.TLS) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, tlsError(err)
	}
	authorities, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, tlsError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, tlsError(fmt.Errorf("no certificate in %s", files.CA))
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
	}, nil
}

func tlsError(err error) error {
	return &Error{
		Code:    Invalid,
		Message: "tls files can't be used: " + err.Error(),
		Remedy:  "set cert, key and ca to readable PEM files that belong together",
		Cause:   err,
	}
}
