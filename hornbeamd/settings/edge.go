package settings

import "hornbeamstep.example/platform/bootfile"

// Edge holds the settings of a router on a machine of the platform, beyond those of the settings file there.
type Edge struct {
	File    string `help:"Settings file of the platform; by default the one that the platform names." placeholder:"FILE"`
	Metrics int    `help:"Port for metrics on the machine's address." default:"9464"`
	Level   string `help:"Lowest level that is logged." default:"info" enum:"debug,info,warn,error"`
}

// Path returns the path of the settings file.
func (e Edge) Path() string {
	if e.File != "" {
		return e.File
	}
	return bootfile.Path()
}

// Validate checks what the types cannot. Kong calls it after parsing; errors are *InvalidError.
func (e Edge) Validate() error {
	if e.Metrics < 1 || e.Metrics > 65535 {
		return &InvalidError{Key: "metrics", Value: "out of range", Remedy: "set a port from 1 to 65535"}
	}
	return nil
}
