// Package connection holds the flags by which hornbeamctl reaches a router.
package connection

import (
	"time"

	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/hornbeamd/settings"
)

// Flags name a router and the keys to use.
type Flags struct {
	Address string        `help:"Operators' address of any router, as ip:port." default:"127.0.0.1:8082" env:"HORNBEAMCTL_ADDRESS" placeholder:"IP:PORT"`
	Cert    string        `help:"File with the operator's certificate, PEM." env:"HORNBEAMCTL_TLS_CERT" placeholder:"FILE" name:"tls-cert" and:"tls"`
	Key     string        `help:"File with the operator's private key, PEM." env:"HORNBEAMCTL_TLS_KEY" placeholder:"FILE" name:"tls-key" and:"tls"`
	CA      string        `help:"File with the authorities of the routers' certificates, PEM." env:"HORNBEAMCTL_TLS_CA" placeholder:"FILE" name:"tls-ca" and:"tls"`
	Timeout time.Duration `help:"Longest time for one call to a router." default:"15s" env:"HORNBEAMCTL_CALL_TIMEOUT" name:"call-timeout"`
}

// Fleet returns a client of the router. Errors are *operator.Error.
func (f Flags) Fleet() (operator.Fleet, error) {
	return operator.NewClient(f.Address, settings.TLS{Cert: f.Cert, Key: f.Key, CA: f.CA}, f.Timeout)
}
