package control

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"hornbeamstep.example/hornbeamd/peer"
)

// newKeys creates a certificate authority and one router certificate, which all nodes of a
// measurement share.
func newKeys() (*peer.Keys, error) {
	dir, err := os.MkdirTemp("", "control")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	authorityTemplate := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(24 * time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, Subject: pkix.Name{CommonName: "measurement"},
	}
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	authorityDER, err := x509.CreateCertificate(rand.Reader, authorityTemplate, authorityTemplate, &authorityKey.PublicKey, authorityKey)
	if err != nil {
		return nil, err
	}
	routerTemplate := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(24 * time.Hour),
		Subject:     pkix.Name{CommonName: "router", OrganizationalUnit: []string{string(peer.RoleRouter)}},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	routerKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	routerDER, err := x509.CreateCertificate(rand.Reader, routerTemplate, authorityTemplate, &routerKey.PublicKey, authorityKey)
	if err != nil {
		return nil, err
	}
	routerKeyDER, err := x509.MarshalECPrivateKey(routerKey)
	if err != nil {
		return nil, err
	}
	files := map[string]*pem.Block{
		"cert.pem": {Type: "CERTIFICATE", Bytes: routerDER}, "key.pem": {Type: "EC PRIVATE KEY", Bytes: routerKeyDER},
		"authority.pem": {Type: "CERTIFICATE", Bytes: authorityDER},
	}
	for name, block := range files {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			return nil, err
		}
	}
	return peer.LoadKeys(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "authority.pem"))
}
