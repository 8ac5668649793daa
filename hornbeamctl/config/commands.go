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

// Run prints every error in the configuration, or the number of values if it is valid.
func (c *Check) Run(e *Env) error {
	loaded, err := configfile.LoadDir(c.Dir)
	var invalid configfile.Errors
	if err != nil && !errors.As(err, &invalid) {
		return withExitCode(err)
	}
	r := checkResult{Valid: err == nil, Errors: invalid}
	if loaded != nil {
		r.Values = len(loaded.Keys())
	}
	printErr := printResult(e, r, func(w io.Writer) {
		if r.Valid {
			writeRow(w, "valid", fmt.Sprintf("%d values", r.Values))
			return
		}
		writeRow(w, "FILE", "LINE", "KEY", "FAULT", "REMEDY")
		for _, configErr := range invalid {
			writeRow(w, configErr.File, configErr.Line, configErr.Key, configErr.Message, configErr.Remedy)
		}
	})
	if err != nil {
		return &ExitError{Code: ExitInvalid, Cause: fmt.Errorf("configuration is invalid: %d errors; fix them and run check again", len(invalid))}
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
	// Before the first push there is no current revision. The folder is then compared with an empty
	// configuration.
	var notFound *history.RevisionNotFoundError
	if err != nil && (!errors.As(err, &notFound) || c.Rev != 0) {
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
	Timeout time.Duration `help:"Maximum time for the push, including reads to determine its outcome if a reply was lost." default:"30s"`
}

type pushResult struct {
	Revision history.Revision `json:"revision"`
	InForce  []string         `json:"in,omitempty"`
	Missing  []string         `json:"missing,omitempty"`
}

// NotInForceError reports that some routers did not confirm a revision in time.
type NotInForceError struct {
	Revision int64
	// Missing lists these routers.
	Missing []string
	// Cause is the error of the last query to the routers; nil if it succeeded.
	Cause error
}

func (e *NotInForceError) Error() string {
	s := fmt.Sprintf("revision %d was accepted, but %d routers did not confirm that it is in force (%s); check that they can reach a peer or the object API",
		e.Revision, len(e.Missing), strings.Join(e.Missing, ", "))
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause, which may be nil.
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
		result.InForce, result.Missing, err = e.waitInForce(r.Number, c.Limit)
	}
	printErr := printResult(e, result, func(w io.Writer) {
		if !c.Wait {
			writeRow(w, "REVISION", "FILES")
			writeRow(w, r.Number, len(r.Files))
			return
		}
		writeRow(w, "REVISION", "FILES", "IN FORCE", "MISSING")
		writeRow(w, r.Number, len(r.Files), len(result.InForce), len(result.Missing))
	})
	return errors.Join(withExitCode(err), printErr)
}

// waitInForce polls the routers until the revision is in force on all of them or the limit expires.
// The lists are those of the last query.
func (e *Env) waitInForce(revision int64, limit time.Duration) (inForce, missing []string, err error) {
	ctx, cancel := context.WithTimeout(e.Context, limit)
	defer cancel()
	interval := e.PollInterval
	if interval == 0 {
		interval = defaultPollInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		inForce, missing, err = e.Routers.InForce(ctx, revision)
		if err == nil && len(missing) == 0 {
			return inForce, nil, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return inForce, missing, &NotInForceError{Revision: revision, Missing: missing, Cause: err}
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

// Run prints the value, the file and line that set it, and the overridden values.
func (c *Explain) Run(e *Env) error {
	_, loaded, err := e.load(c.Rev)
	if err != nil {
		return withExitCode(err)
	}
	explanation, err := loaded.Explain(c.Key)
	if err != nil {
		return withExitCode(err)
	}
	return printResult(e, explanation, func(w io.Writer) {
		writeRow(w, "VALUE", "FILE", "LINE", "")
		if explanation.File == "" {
			writeRow(w, orDash(explanation.Value), "default", "-", "in force")
			return
		}
		writeRow(w, orDash(explanation.Value), explanation.File, explanation.Line, "in force")
		for _, o := range explanation.Overrides {
			writeRow(w, orDash(o.Value), o.File, o.Line, "overridden")
		}
	})
}

// readDir returns the files of a folder and the configuration that is built from them.
func readDir(dir string) ([]configfile.File, *configfile.Config, error) {
	files, err := configfile.Read(dir)
	if err != nil {
		return nil, nil, err
	}
	loaded, err := configfile.Load(files)
	return files, loaded, err
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
	loaded, _, err := h.Load(e.Context, r)
	return r, loaded, err
}

func shortDigest(digest string) string { return orDash(digest[:min(12, len(digest))]) }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
