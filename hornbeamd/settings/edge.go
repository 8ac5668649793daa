package settings

import "hornbeamstep.example/platform/bootfile"

// Edge holds the flags of a router on a platform machine. All other settings come from the
// platform's settings file.
type Edge struct {
	File    string `help:"Settings file of the platform; defaults to the file that the platform names." placeholder:"FILE"`
	Metrics int    `help:"Port on the machine's address that serves metrics." default:"9464"`
	Level   string `help:"Minimum log level." default:"info" enum:"debug,info,warn,error"`
}

// Path returns the path of the settings file.
func (e Edge) Path() string {
	if e.File != "" {
		return e.File
	}
	return bootfile.Path()
}

// Validate checks constraints that the field types do not express. Kong calls it after parsing.
// Errors are of type *InvalidError.
func (e Edge) Validate() error {
	if e.Metrics < 1 || e.Metrics > 65535 {
		return &InvalidError{Key: "metrics", Value: "out of range", Remedy: "set a port from 1 to 65535"}
	}
	return nil
}
