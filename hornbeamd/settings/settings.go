// Package settings holds the settings of one daemon: their defaults, their sources and their checks.
package settings

import (
	"net"
	"time"

	"github.com/alecthomas/kong"
)

// EnvPrefix starts the name of each environment variable, as in HORNBEAM_CALLER_LISTEN.
const EnvPrefix = "HORNBEAM"

// Settings are read from flags, then the environment, then one YAML file, then the defaults stated here.
type Settings struct {
	Config kong.ConfigFlag `help:"YAML file with settings; nested keys stand for the parts of a flag's name." placeholder:"FILE" yaml:"-"`

	ID     string `help:"Name of this daemon, unique in the fleet." placeholder:"NAME" required:""`
	Zone   string `help:"Availability zone of this instance." placeholder:"ZONE" required:""`
	Region string `help:"Region of this instance." default:"local"`

	Caller   Caller   `embed:"" prefix:"caller-"`
	Peer     Peer     `embed:"" prefix:"peer-"`
	Operator Operator `embed:"" prefix:"operator-"`
	Platform Platform `embed:"" prefix:"platform-"`
	Engine   Engine   `embed:"" prefix:"engine-"`
	Orders   Orders   `embed:"" prefix:"orders-"`
	Drain    Drain    `embed:"" prefix:"drain-"`
	Log      Log      `embed:"" prefix:"log-"`
}

// Caller holds the settings of the interface towards callers.
type Caller struct {
	Listen      string        `help:"Address for callers, as ip:port." default:"127.0.0.1:8080"`
	Address     string        `help:"Address given to callers in route answers, as ip:port; the listening address if empty."`
	Body        int64         `help:"Largest request body, in bytes." default:"4194304"`
	Connections int           `help:"Greatest number of requests in progress." default:"4096"`
	Heartbeat   time.Duration `help:"Time between SSE comments on a silent stream." default:"5s"`
	Lifetime    time.Duration `help:"How long callers may keep a route answer." default:"30s"`
	Write       time.Duration `help:"Longest time that a write to a caller may block." default:"30s"`
	TLS         Identity      `embed:"" prefix:"tls-"`
}

// Identity names the files of a server whose clients need no certificate. Either both are set or none.
type Identity struct {
	Cert string `help:"File with the certificate chain, PEM." placeholder:"FILE"`
	Key  string `help:"File with the private key, PEM." placeholder:"FILE"`
}

// Peer holds the settings of the links between daemons.
type Peer struct {
	Listen  string   `help:"Address for other daemons, as ip:port." default:"127.0.0.1:8081"`
	Address string   `help:"Address given to other daemons, as ip:port; the listening address if empty."`
	Seeds   []string `help:"Addresses of other daemons to ask when the instance list is unavailable, as ip:port."`
	TLS     TLS      `embed:"" prefix:"tls-"`
}

// Operator holds the settings of the interface towards operators.
type Operator struct {
	Listen string `help:"Address for operators, as ip:port." default:"127.0.0.1:8082"`
	TLS    TLS    `embed:"" prefix:"tls-"`
}

// TLS names the files of a mutual TLS identity. Either all are set or none; none is allowed on a loopback address only.
type TLS struct {
	Cert string `help:"File with the certificate chain, PEM." placeholder:"FILE"`
	Key  string `help:"File with the private key, PEM." placeholder:"FILE"`
	CA   string `help:"File with the authorities that peers' certificates chain to, PEM." placeholder:"FILE"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Objects   string        `help:"URL of the object API." default:"http://127.0.0.1:7001"`
	Instances string        `help:"URL of the instance list." default:"http://127.0.0.1:7002"`
	Weights   string        `help:"URL of the weight store; empty if there is none."`
	Timeout   time.Duration `help:"Longest time for one call, watches excepted." default:"2s"`
}

// Engine holds the settings of the links to model engines and plain services.
type Engine struct {
	Step     time.Duration `help:"Time of one engine step; the unit of the users' figure is not confirmed." default:"3ms"`
	Connect  time.Duration `help:"Longest time to connect." default:"1s"`
	First    time.Duration `help:"Longest time without progress before the first token." default:"10s"`
	Progress time.Duration `help:"Longest time without progress between tokens." default:"3s"`
	Poll     time.Duration `help:"Time between load reports read from an owned engine." default:"200ms"`
	Moves    bool          `help:"Move KV caches between engines when that is cheaper than computing them again." default:"true" negatable:""`
}

// Orders holds the settings of the orders to model engines.
type Orders struct {
	Enable bool `help:"Give orders to the engines that this daemon owns: load models and adapters, drain." default:"true" negatable:""`
}

// Drain holds the times of a graceful shutdown.
type Drain struct {
	Longest time.Duration `help:"Longest time that requests in progress are waited for after the route answers' lifetime." default:"10m"`
}

// Log holds the settings of the log.
type Log struct {
	Level string `help:"Lowest level that is written." default:"info" enum:"debug,info,warn,error"`
}

// Default returns the defaults for a daemon's name and availability zone.
func Default(id, zone string) (Settings, error) {
	var s Settings
	_, err := Parse(&s, []string{"--id=" + id, "--zone=" + zone})
	return s, err
}

// Parse fills target, which is *Settings or a struct that embeds Settings, from arguments, the environment and a file.
func Parse(target any, args []string, options ...kong.Option) (*kong.Context, error) {
	options = append([]kong.Option{
		kong.Name("hornbeamd"),
		kong.Description("Router daemon of hornbeamstep."),
		kong.DefaultEnvars(EnvPrefix),
		kong.Configuration(load),
	}, options...)
	parser, err := kong.New(target, options...)
	if err != nil {
		return nil, err
	}
	return parser.Parse(args)
}

// Validate checks what the types cannot. Kong calls it after parsing; errors are *InvalidError.
func (s *Settings) Validate() error {
	for key, address := range map[string]string{
		"caller.listen": s.Caller.Listen, "peer.listen": s.Peer.Listen, "operator.listen": s.Operator.Listen,
	} {
		if err := checkAddress(key, address); err != nil {
			return err
		}
	}
	if s.Caller.Address != "" {
		if err := checkAddress("caller.address", s.Caller.Address); err != nil {
			return err
		}
	}
	if tls := s.Caller.TLS; (tls.Cert == "") != (tls.Key == "") {
		return &InvalidError{Key: "caller.tls", Value: "incomplete", Remedy: "set cert and key together"}
	}
	if s.Peer.Address != "" {
		if err := checkAddress("peer.address", s.Peer.Address); err != nil {
			return err
		}
	}
	if err := checkTLS("peer", s.Peer.Listen, s.Peer.TLS); err != nil {
		return err
	}
	if err := checkTLS("operator", s.Operator.Listen, s.Operator.TLS); err != nil {
		return err
	}
	return s.checkRanges()
}

func (s *Settings) checkRanges() error {
	positive := map[string]time.Duration{
		"caller.heartbeat": s.Caller.Heartbeat, "caller.lifetime": s.Caller.Lifetime, "caller.write": s.Caller.Write,
		"platform.timeout": s.Platform.Timeout, "engine.step": s.Engine.Step, "engine.connect": s.Engine.Connect,
		"engine.first": s.Engine.First, "engine.progress": s.Engine.Progress, "engine.poll": s.Engine.Poll,
		"drain.longest": s.Drain.Longest,
	}
	for key, d := range positive {
		if d <= 0 {
			return &InvalidError{Key: key, Value: d.String(), Remedy: "set a time greater than 0"}
		}
	}
	if s.Caller.Body <= 0 {
		return &InvalidError{Key: "caller.body", Value: "0", Remedy: "set a size in bytes greater than 0"}
	}
	if s.Caller.Connections <= 0 {
		return &InvalidError{Key: "caller.connections", Value: "0", Remedy: "set a number greater than 0"}
	}
	return nil
}

func checkAddress(key, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return &InvalidError{Key: key, Value: address, Remedy: "write it as ip:port, for example 127.0.0.1:8080"}
	}
	return nil
}

func checkTLS(group, listen string, t TLS) error {
	set := 0
	for _, file := range []string{t.Cert, t.Key, t.CA} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		return &InvalidError{Key: group + ".tls", Value: "incomplete", Remedy: "set cert, key and ca together"}
	}
	host, _, _ := net.SplitHostPort(listen)
	if set == 0 && !net.ParseIP(host).IsLoopback() {
		return &InvalidError{
			Key: group + ".listen", Value: listen,
			Remedy: "set " + group + ".tls.cert, key and ca, or listen on a loopback address",
		}
	}
	return nil
}
