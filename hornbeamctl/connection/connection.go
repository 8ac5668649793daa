// Package connection defines the flags for the connection to a router.
package connection

import (
	"time"

	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/hornbeamd/settings"
)

// Flags are the global flags for calls to a router.
type Flags struct {
	Address string        `help:"Address of the operator API of any router, as ip:port." default:"127.0.0.1:8082" env:"HORNBEAMCTL_ADDRESS" placeholder:"IP:PORT"`
	Cert    string        `help:"Operator's client certificate, a PEM file." env:"HORNBEAMCTL_TLS_CERT" placeholder:"FILE" name:"tls-cert" and:"tls"`
	Key     string        `help:"Operator's private key, a PEM file." env:"HORNBEAMCTL_TLS_KEY" placeholder:"FILE" name:"tls-key" and:"tls"`
	CA      string        `help:"Certificate authorities that sign the routers' certificates, a PEM file." env:"HORNBEAMCTL_TLS_CA" placeholder:"FILE" name:"tls-ca" and:"tls"`
	Timeout time.Duration `help:"Timeout of one call to a router." default:"15s" env:"HORNBEAMCTL_CALL_TIMEOUT" name:"call-timeout"`
}

// NewClient returns a client of the operator API at Address. If it cannot read the TLS files, it
// returns *operator.Error.
func (f Flags) NewClient() (operator.Fleet, error) {
	return operator.NewClient(f.Address, settings.TLS{Cert: f.Cert, Key: f.Key, CA: f.CA}, f.Timeout)
}
