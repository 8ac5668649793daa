package config

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"hornbeamstep.example/policy/folder"
	"hornbeamstep.example/policy/history"
)

const defaultPoll = 250 * time.Millisecond

// Check checks a folder.
type Check struct {
	Dir string `arg:"" help:"Folder of YAML files."`
}

type checkResult struct {
	Valid  bool          `json:"valid"`
	Values int           `json:"values"`
	Errors folder.Errors `json:"errors,omitempty"`
}

// Run prints every fault.
func (c *Check) Run(e *Env) error {
	f, err := folder.LoadDir(c.Dir)
	var faults folder.Errors
	if err != nil && !errors.As(err, &faults) {
		return exit(err)
	}
	r := checkResult{Valid: err == nil, Errors: faults}
	if f != nil {
		r.Values = len(f.Keys())
	}
	printErr := show(e, r, func(w io.Writer) {
		if r.Valid {
			row(w, "valid", fmt.Sprintf("%d values", r.Values))
			return
		}
		row(w, "FILE", "LINE", "KEY", "FAULT", "REMEDY")
		for _, f := range faults {
			row(w, f.File, f.Line, f.Key, f.Message, f.Remedy)
		}
	})
	if err != nil {
		return &ExitError{Code: ExitInvalid, Cause: fmt.Errorf("configuration has %d faults; correct them and check again", len(faults))}
	}
	return printErr
}

// Diff compares a folder with a revision.
type Diff struct {
	Dir string `arg:"" help:"Folder of YAML files."`
	Rev int64  `help:"Revision to compare with; the current one if 0."`
}

type diffResult struct {
	Revision int64               `json:"revision"`
	Files    []history.FileDiff  `json:"files"`
	Values   []history.ValueDiff `json:"values"`
}

// Run prints the files and values that differ. Its exit code is ExitDiffers if there are any.
func (c *Diff) Run(e *Env) error {
	files, after, err := read(c.Dir)
	if err != nil {
		return exit(err)
	}
	r, before, err := e.load(c.Rev)
	var none *history.RevisionNotFoundError
	if err != nil && (!errors.As(err, &none) || c.Rev != 0) {
		return exit(err)
	}
	d := diffResult{Revision: r.Number, Files: history.DiffFiles(r.Files, history.Refs(files)), Values: history.DiffValues(before, after)}
	if err := show(e, d, func(w io.Writer) { diffTable(w, d) }); err != nil {
		return err
	}
	if len(d.Files) > 0 {
		return &ExitError{Code: ExitDiffers, Cause: fmt.Errorf("folder differs from revision %d, in %d file(s)", r.Number, len(d.Files))}
	}
	return nil
}

func diffTable(w io.Writer, d diffResult) {
	row(w, "FILE", "BEFORE", "AFTER")
	for _, f := range d.Files {
		row(w, f.Name, short(f.Before), short(f.After))
	}
	row(w, "KEY", "BEFORE", "AFTER")
	for _, v := range d.Values {
		row(w, v.Key, dash(v.Before), dash(v.After))
	}
}

// Push makes a folder the next revision.
type Push struct {
	Dir     string        `arg:"" help:"Folder of YAML files."`
	Message string        `short:"m" help:"What changes and why." required:""`
	Base    int64         `help:"Revision that the change was made from; -1 replaces whatever is current." required:""`
	Wait    bool          `help:"Wait until the revision is in force on every router."`
	Limit   time.Duration `help:"Longest wait." default:"7s"`
	Timeout time.Duration `help:"Longest time to settle a push whose reply was lost." default:"30s"`
}

type pushResult struct {
	Revision history.Revision `json:"revision"`
	In       []string         `json:"in,omitempty"`
	Missing  []string         `json:"missing,omitempty"`
}

// NotInForceError says that routers did not report a revision in time.
type NotInForceError struct {
	Revision int64
	Missing  []string
	Cause    error
}

func (e *NotInForceError) Error() string {
	s := fmt.Sprintf("revision %d was accepted but is not known to be in force on %d routers (%s); check that they reach a peer or the object api",
		e.Revision, len(e.Missing), strings.Join(e.Missing, ", "))
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the error of the last question to the routers.
func (e *NotInForceError) Unwrap() error { return e.Cause }

// Run pushes, and waits if asked to.
func (c *Push) Run(e *Env) error {
	if c.Wait && e.Routers == nil {
		return exit(errors.New("the routers are unknown; name a router to ask or push without --wait"))
	}
	files, _, err := read(c.Dir)
	if err != nil {
		return exit(err)
	}
	ctx, cancel := context.WithTimeout(e.Context, c.Timeout)
	defer cancel()
	change := history.Change{Base: c.Base, Author: e.Author, Message: c.Message, Files: files, Push: e.Push()}
	r, err := e.history().Push(ctx, change)
	if err != nil {
		return exit(err)
	}
	result := pushResult{Revision: r}
	if c.Wait {
		result.In, result.Missing, err = e.wait(r.Number, c.Limit)
	}
	printErr := show(e, result, func(w io.Writer) {
		if !c.Wait {
			row(w, "REVISION", "FILES")
			row(w, r.Number, len(r.Files))
			return
		}
		row(w, "REVISION", "FILES", "IN FORCE", "MISSING")
		row(w, r.Number, len(r.Files), len(result.In), len(result.Missing))
	})
	return errors.Join(exit(err), printErr)
}

// wait asks the routers until all have a revision in force or the limit passes.
func (e *Env) wait(revision int64, limit time.Duration) (in, missing []string, err error) {
	ctx, cancel := context.WithTimeout(e.Context, limit)
	defer cancel()
	poll := e.Poll
	if poll == 0 {
		poll = defaultPoll
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
	Limit int `help:"Greatest number of revisions." default:"20"`
}

// Run prints the revisions.
func (c *History) Run(e *Env) error {
	list, err := e.history().List(e.Context, c.Limit)
	if err != nil {
		return exit(err)
	}
	return show(e, list, func(w io.Writer) {
		row(w, "REVISION", "TIME", "AUTHOR", "FILES", "MESSAGE")
		for _, r := range list {
			row(w, r.Number, r.Time.Format(time.RFC3339), r.Author, len(r.Files), r.Message)
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
		return exit(err)
	}
	return show(e, r, func(w io.Writer) {
		row(w, "revision", r.Number)
		row(w, "parent", r.Parent)
		row(w, "author", r.Author)
		row(w, "time", r.Time.Format(time.RFC3339))
		row(w, "message", r.Message)
		for _, f := range r.Files {
			row(w, f.Name, f.Size, short(f.Digest))
		}
	})
}

// Explain shows where a value comes from.
type Explain struct {
	Key string `arg:"" help:"Value such as accounts.north.rate."`
	Rev int64  `help:"Revision to explain; the current one if 0."`
}

// Run prints the value, its place, and the places that it overrides.
func (c *Explain) Run(e *Env) error {
	_, f, err := e.load(c.Rev)
	if err != nil {
		return exit(err)
	}
	x, err := f.Explain(c.Key)
	if err != nil {
		return exit(err)
	}
	return show(e, x, func(w io.Writer) {
		row(w, "VALUE", "FILE", "LINE", "")
		if x.File == "" {
			row(w, dash(x.Value), "default", "-", "in force")
			return
		}
		row(w, dash(x.Value), x.File, x.Line, "in force")
		for _, o := range x.Overrides {
			row(w, dash(o.Value), o.File, o.Line, "overridden")
		}
	})
}

func read(dir string) ([]folder.File, *folder.Folder, error) {
	files, err := folder.Read(dir)
	if err != nil {
		return nil, nil, err
	}
	f, err := folder.Load(files)
	return files, f, err
}

// load returns a revision and its configuration; the current one if number is 0.
func (e *Env) load(number int64) (history.Revision, *folder.Folder, error) {
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

func short(digest string) string { return dash(digest[:min(12, len(digest))]) }

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
