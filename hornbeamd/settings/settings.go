// Package settings defines the daemon's settings with their defaults, reads them from all sources
// and validates them.
package settings

import (
	"net"
	"time"

	"github.com/alecthomas/kong"
)

// EnvPrefix is the prefix of all environment variables, as in HORNBEAM_CALLER_LISTEN.
const EnvPrefix = "HORNBEAM"

// Settings holds the settings of a daemon. In order of precedence, they come from flags, the
// environment, a YAML file and the defaults below.
type Settings struct {
	Config kong.ConfigFlag `help:"YAML settings file; nested keys form a flag name, such as caller: {listen: ...} for --caller-listen." placeholder:"FILE" yaml:"-"`

	ID     string `help:"Name of this daemon; must be unique in the fleet." placeholder:"NAME" required:""`
	Zone   string `help:"Availability zone of this instance." placeholder:"ZONE" required:""`
	Region string `help:"Region of this instance." default:"local"`

	Caller   Caller   `embed:"" prefix:"caller-"`
	Peer     Peer     `embed:"" prefix:"peer-"`
	Operator Operator `embed:"" prefix:"operator-"`
	Platform Platform `embed:"" prefix:"platform-"`
	Engine   Engine   `embed:"" prefix:"engine-"`
	Orders   Orders   `embed:"" prefix:"orders-"`
	Drain    Drain    `embed:"" prefix:"drain-"`
	Limits   Limits   `embed:"" prefix:"limits-"`
	Log      Log      `embed:"" prefix:"log-"`
}

// Caller holds the settings of the API for callers.
type Caller struct {
	Listen      string        `help:"Address to listen on for callers, as ip:port." default:"127.0.0.1:8080"`
	Address     string        `help:"Address advertised to callers in route responses, as ip:port; defaults to the listen address."`
	Body        int64         `help:"Maximum size of a request body, in bytes." default:"4194304"`
	Connections int           `help:"Maximum number of concurrent requests." default:"4096"`
	Heartbeat   time.Duration `help:"Interval between SSE comments on an idle stream." default:"5s"`
	Lifetime    time.Duration `help:"Time for which callers may cache a route response." default:"30s"`
	Write       time.Duration `help:"Timeout of a write to a caller." default:"30s"`
	TLS         ServerTLS     `embed:"" prefix:"tls-"`
}

// ServerTLS holds the TLS files of a server that requires no client certificate. Set both or
// neither.
type ServerTLS struct {
	Cert string `help:"File with the certificate chain, PEM." placeholder:"FILE"`
	Key  string `help:"File with the private key, PEM." placeholder:"FILE"`
}

// Peer holds the settings of the connections between daemons.
type Peer struct {
	Listen  string   `help:"Address to listen on for other daemons, as ip:port." default:"127.0.0.1:8081"`
	Address string   `help:"Address advertised to other daemons, as ip:port; defaults to the listen address."`
	Seeds   []string `help:"Addresses of other daemons to contact when the instance list is unavailable, as ip:port."`
	TLS     TLS      `embed:"" prefix:"tls-"`
}

// Operator holds the settings of the API for operators.
type Operator struct {
	Listen string `help:"Address to listen on for operators, as ip:port." default:"127.0.0.1:8082"`
	TLS    TLS    `embed:"" prefix:"tls-"`
}

// TLS holds the files for mutual TLS. Set all or none; none is allowed only if the daemon listens
// on a loopback address.
type TLS struct {
	Cert string `help:"File with the certificate chain, PEM." placeholder:"FILE"`
	Key  string `help:"File with the private key, PEM." placeholder:"FILE"`
	CA   string `help:"File with the CA certificates that verify the other side, PEM." placeholder:"FILE"`
}

// Platform holds the URLs of the platform's services and the timeout for calls to them.
type Platform struct {
	Objects   string        `help:"URL of the object API." default:"http://127.0.0.1:7001"`
	Instances string        `help:"URL of the instance list." default:"http://127.0.0.1:7002"`
	Weights   string        `help:"URL of the model weight store; empty if there is none."`
	Timeout   time.Duration `help:"Timeout of a call, except for watches." default:"2s"`
}

// Engine holds the settings of the connections to model engines and plain services.
type Engine struct {
	Step     time.Duration `help:"Duration of one engine step. The requirements state about 3 and have not confirmed the unit." default:"3ms"`
	Connect  time.Duration `help:"Connect timeout." default:"1s"`
	First    time.Duration `help:"Timeout without progress before the first token." default:"10s"`
	Progress time.Duration `help:"Timeout without progress between tokens." default:"3s"`
	Poll     time.Duration `help:"Interval for polling the load reports of an engine that this daemon owns." default:"200ms"`
	Moves    bool          `help:"Transfer KV caches between engines when that is cheaper than recomputing them." default:"true" negatable:""`
}

// Orders holds the settings of the orders that the daemon sends to model engines: commands to load
// models and adapters and to drain.
type Orders struct {
	Enable bool `help:"Send orders to the engines that this daemon owns: load models and adapters, drain." default:"true" negatable:""`
}

// Drain holds the settings of a graceful shutdown.
type Drain struct {
	Longest time.Duration `help:"Maximum time to wait for running requests after cached route responses have expired." default:"10m"`
}

// Limits holds the limits of the process.
type Limits struct {
	Memory      int64 `help:"Memory that the process may use, in MiB; 0 stands for that of the control group or the machine." default:"0"`
	Descriptors int   `help:"Maximum number of open file descriptors; 0 stands for the limit of the operating system." default:"0"`
}

// Log holds the settings of the logger.
type Log struct {
	Level string `help:"Minimum log level." default:"info" enum:"debug,info,warn,error"`
}

// Default returns the settings of a daemon with a name and an availability zone. All other settings
// come from the environment and the defaults.
func Default(id, zone string) (Settings, error) {
	var s Settings
	_, err := Parse(&s, []string{"--id=" + id, "--zone=" + zone})
	return s, err
}

// Parse fills target from arguments, the environment and a settings file. Target is a *Settings or
// points to a struct that contains Settings.
func Parse(target any, args []string, options ...kong.Option) (*kong.Context, error) {
	options = append([]kong.Option{
		kong.Name("hornbeamd"),
		kong.Description("Router daemon of hornbeamstep."),
		kong.DefaultEnvars(EnvPrefix),
		kong.Configuration(newYAMLResolver),
	}, options...)
	parser, err := kong.New(target, options...)
	if err != nil {
		return nil, err
	}
	return parser.Parse(args)
}

// Validate checks constraints that the field types do not express. Kong calls it after parsing.
// Errors are of type *InvalidError.
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
			return &InvalidError{Key: key, Value: d.String(), Remedy: "set a duration greater than 0"}
		}
	}
	if s.Caller.Body <= 0 {
		return &InvalidError{Key: "caller.body", Value: "0", Remedy: "set a size in bytes greater than 0"}
	}
	if s.Limits.Memory < 0 || s.Limits.Descriptors < 0 {
		return &InvalidError{Key: "limits", Value: "negative", Remedy: "set numbers that are 0 or greater"}
	}
	if s.Caller.Connections <= 0 {
		return &InvalidError{Key: "caller.connections", Value: "0", Remedy: "set a number greater than 0"}
	}
	return nil
}

func checkAddress(key, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return &InvalidError{Key: key, Value: address, Remedy: "use the form ip:port, for example 127.0.0.1:8080"}
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
