package config

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"hornbeamstep.example/policy/configfile"
	"hornbeamstep.example/policy/history"
)

const defaultPollInterval = 250 * time.Millisecond

// Check validates the configuration in a folder.
type Check struct {
	Dir string `arg:"" help:"Folder of YAML files."`
}

type checkResult struct {
	Valid  bool              `json:"valid"`
	Values int               `json:"values"`
	Errors configfile.Errors `json:"errors,omitempty"`
}

// Run prints every error in the configuration.
func (c *Check) Run(e *Env) error {
	f, err := configfile.LoadDir(c.Dir)
	var faults configfile.Errors
	if err != nil && !errors.As(err, &faults) {
		return withExitCode(err)
	}
	r := checkResult{Valid: err == nil, Errors: faults}
	if f != nil {
		r.Values = len(f.Keys())
	}
	printErr := printResult(e, r, func(w io.Writer) {
		if r.Valid {
			writeRow(w, "valid", fmt.Sprintf("%d values", r.Values))
			return
		}
		writeRow(w, "FILE", "LINE", "KEY", "FAULT", "REMEDY")
		for _, f := range faults {
			writeRow(w, f.File, f.Line, f.Key, f.Message, f.Remedy)
		}
	})
	if err != nil {
		return &ExitError{Code: ExitInvalid, Cause: fmt.Errorf("configuration is invalid: %d errors; fix them and run check again", len(faults))}
	}
	return printErr
}

// Diff compares the configuration in a folder with a revision.
type Diff struct {
	Dir string `arg:"" help:"Folder of YAML files."`
	Rev int64  `help:"Revision to compare with; 0 means the current one."`
}

type diffResult struct {
	Revision int64               `json:"revision"`
	Files    []history.FileDiff  `json:"files"`
	Values   []history.ValueDiff `json:"values"`
}

// Run prints the files and values that differ. If any file differs, it returns an error with code
// ExitDiffers.
func (c *Diff) Run(e *Env) error {
	files, after, err := readDir(c.Dir)
	if err != nil {
		return withExitCode(err)
	}
	r, before, err := e.load(c.Rev)
	var none *history.RevisionNotFoundError
	if err != nil && (!errors.As(err, &none) || c.Rev != 0) {
		return withExitCode(err)
	}
	d := diffResult{Revision: r.Number, Files: history.DiffFiles(r.Files, history.Refs(files)), Values: history.DiffValues(before, after)}
	if err := printResult(e, d, func(w io.Writer) { diffTable(w, d) }); err != nil {
		return err
	}
	if len(d.Files) > 0 {
		return &ExitError{Code: ExitDiffers, Cause: fmt.Errorf("folder differs from revision %d in %d file(s)", r.Number, len(d.Files))}
	}
	return nil
}

func diffTable(w io.Writer, d diffResult) {
	writeRow(w, "FILE", "BEFORE", "AFTER")
	for _, f := range d.Files {
		writeRow(w, f.Name, shortDigest(f.Before), shortDigest(f.After))
	}
	writeRow(w, "KEY", "BEFORE", "AFTER")
	for _, v := range d.Values {
		writeRow(w, v.Key, orDash(v.Before), orDash(v.After))
	}
}

// Push stores the configuration in a folder as the next revision.
type Push struct {
	Dir     string        `arg:"" help:"Folder of YAML files."`
	Message string        `short:"m" help:"Description of the change and its reason." required:""`
	Base    int64         `help:"Revision that the change is based on; -1 replaces the current revision, whatever its number." required:""`
	Wait    bool          `help:"Wait until the revision is in force on every router."`
	Limit   time.Duration `help:"Maximum time to wait with --wait." default:"7s"`
	Timeout time.Duration `help:"Maximum time for the push, including finding out whether a push whose reply was lost took effect." default:"30s"`
}

type pushResult struct {
	Revision history.Revision `json:"revision"`
	In       []string         `json:"in,omitempty"`
	Missing  []string         `json:"missing,omitempty"`
}

// NotInForceError reports that some routers did not confirm a revision in time.
type NotInForceError struct {
	Revision int64
	Missing  []string
	Cause    error
}

func (e *NotInForceError) Error() string {
	s := fmt.Sprintf("revision %d was accepted, but %d routers did not confirm that it is in force (%s); check that they can reach a peer or the object API",
		e.Revision, len(e.Missing), strings.Join(e.Missing, ", "))
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the error of the last query to the routers.
func (e *NotInForceError) Unwrap() error { return e.Cause }

// Run pushes the folder. With --wait it then waits until the revision is in force on every router.
func (c *Push) Run(e *Env) error {
	if c.Wait && e.Routers == nil {
		return withExitCode(errors.New("--wait needs a connection to a router; set the router address or push without --wait"))
	}
	files, _, err := readDir(c.Dir)
	if err != nil {
		return withExitCode(err)
	}
	ctx, cancel := context.WithTimeout(e.Context, c.Timeout)
	defer cancel()
	change := history.Change{Base: c.Base, Author: e.Author, Message: c.Message, Files: files, Push: e.NewPushID()}
	r, err := e.history().Push(ctx, change)
	if err != nil {
		return withExitCode(err)
	}
	result := pushResult{Revision: r}
	if c.Wait {
		result.In, result.Missing, err = e.waitInForce(r.Number, c.Limit)
	}
	printErr := printResult(e, result, func(w io.Writer) {
		if !c.Wait {
			writeRow(w, "REVISION", "FILES")
			writeRow(w, r.Number, len(r.Files))
			return
		}
		writeRow(w, "REVISION", "FILES", "IN FORCE", "MISSING")
		writeRow(w, r.Number, len(r.Files), len(result.In), len(result.Missing))
	})
	return errors.Join(withExitCode(err), printErr)
}

// waitInForce polls the routers until all of them have the revision in force or the limit expires.
func (e *Env) waitInForce(revision int64, limit time.Duration) (in, missing []string, err error) {
	ctx, cancel := context.WithTimeout(e.Context, limit)
	defer cancel()
	poll := e.PollInterval
	if poll == 0 {
		poll = defaultPollInterval
	}
	tick := time.NewTicker(poll)
	defer tick.Stop()
	for {
		in, missing, err = e.Routers.InForce(ctx, revision)
		if err == nil && len(missing) == 0 {
			return in, nil, nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return in, missing, &NotInForceError{Revision: revision, Missing: missing, Cause: err}
		}
	}
}

// History lists revisions.
type History struct {
	Limit int `help:"Maximum number of revisions to list." default:"20"`
}

// Run prints the revisions.
func (c *History) Run(e *Env) error {
	list, err := e.history().List(e.Context, c.Limit)
	if err != nil {
		return withExitCode(err)
	}
	return printResult(e, list, func(w io.Writer) {
		writeRow(w, "REVISION", "TIME", "AUTHOR", "FILES", "MESSAGE")
		for _, r := range list {
			writeRow(w, r.Number, r.Time.Format(time.RFC3339), r.Author, len(r.Files), r.Message)
		}
	})
}

// Show shows a revision.
type Show struct {
	Rev int64 `arg:"" help:"Number of the revision."`
}

// Run prints the revision and its files.
func (c *Show) Run(e *Env) error {
	r, err := e.history().Revision(e.Context, c.Rev)
	if err != nil {
		return withExitCode(err)
	}
	return printResult(e, r, func(w io.Writer) {
		writeRow(w, "revision", r.Number)
		writeRow(w, "parent", r.Parent)
		writeRow(w, "author", r.Author)
		writeRow(w, "time", r.Time.Format(time.RFC3339))
		writeRow(w, "message", r.Message)
		for _, f := range r.Files {
			writeRow(w, f.Name, f.Size, shortDigest(f.Digest))
		}
	})
}

// Explain shows which file and line set a value.
type Explain struct {
	Key string `arg:"" help:"Key of the value, such as accounts.north.rate."`
	Rev int64  `help:"Revision to read; 0 means the current one."`
}

// Run prints the value, the file and line that set it, and the settings that it overrides.
func (c *Explain) Run(e *Env) error {
	_, f, err := e.load(c.Rev)
	if err != nil {
		return withExitCode(err)
	}
	x, err := f.Explain(c.Key)
	if err != nil {
		return withExitCode(err)
	}
	return printResult(e, x, func(w io.Writer) {
		writeRow(w, "VALUE", "FILE", "LINE", "")
		if x.File == "" {
			writeRow(w, orDash(x.Value), "default", "-", "in force")
			return
		}
		writeRow(w, orDash(x.Value), x.File, x.Line, "in force")
		for _, o := range x.Overrides {
			writeRow(w, orDash(o.Value), o.File, o.Line, "overridden")
		}
	})
}

func readDir(dir string) ([]configfile.File, *configfile.Config, error) {
	files, err := configfile.Read(dir)
	if err != nil {
		return nil, nil, err
	}
	f, err := configfile.Load(files)
	return files, f, err
}

// load returns a revision and its configuration. Number 0 means the current revision.
func (e *Env) load(number int64) (history.Revision, *configfile.Config, error) {
	h := e.history()
	var r history.Revision
	var err error
	if number == 0 {
		r, err = h.Head(e.Context)
	} else {
		r, err = h.Revision(e.Context, number)
	}
	if err != nil {
		return history.Revision{}, nil, err
	}
	f, _, err := h.Load(e.Context, r)
	return r, f, err
}

func shortDigest(digest string) string { return orDash(digest[:min(12, len(digest))]) }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
