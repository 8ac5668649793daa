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

// Role is the set of operations that an operator may perform.
type Role string

// The roles. The organizational unit in the subject of an operator's certificate names the role.
const (
	// Viewer may only read.
	Viewer Role = "viewer"
	// Operator may read and make changes.
	Operator Role = "operator"
)

// identity returns the operator's name and role. The role is empty if the certificate names none.
// Without TLS the listener is on a loopback address, and every process on the instance has the role
// Operator.
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

// authorize returns an *Error unless the operator who sent r may perform operations of the required
// role. Operator includes Viewer.
func authorize(r *http.Request, required Role) error {
	name, role := identity(r)
	if role == "" {
		return &Error{
			Code:    Unauthenticated,
			Message: fmt.Sprintf("certificate of %q names no role", name),
			Remedy:  "use a certificate whose subject has the organizational unit viewer or operator",
		}
	}
	if required == Operator && role != Operator {
		return &Error{
			Code:    Forbidden,
			Message: fmt.Sprintf("%q may only read", name),
			Remedy:  "use a certificate whose subject has the organizational unit operator",
		}
	}
	return nil
}

// checkExposure returns an *ExposedError if no TLS files are set and listen is not a loopback IP
// address, since the operator API would be reachable from the network without authentication. Host
// names, including localhost, are refused as well.
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

// serverTLS returns a configuration that reads the files on each handshake, so that renewed
// certificates need no restart. It returns nil if no files are set.
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

// readTLS reads a certificate, its key and the CA certificates for verifying the peer. The returned
// configuration is valid for a server and for a client.
func readTLS(files settings.TLS) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, tlsError(err)
	}
	caPEM, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, tlsError(err)
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(caPEM) {
		return nil, tlsError(fmt.Errorf("no certificate in %s", files.CA))
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      caPool,
		ClientCAs:    caPool,
	}, nil
}

func tlsError(err error) error {
	return &Error{
		Code:    Invalid,
		Message: "cannot load the TLS files: " + err.Error(),
		Remedy:  "set cert, key and ca to readable PEM files that belong together",
		Cause:   err,
	}
}
