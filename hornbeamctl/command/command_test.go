package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamctl/command"
	"hornbeamstep.example/hornbeamctl/exit"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/timeline"
)

// fleet is a fake operator.Fleet that records the changes requested from it.
type fleet struct {
	operator.Fleet
	err error
	// outage is returned by calls that need the object API.
	outage  error
	running int
	changes []string
	missing []string
	checks  []operator.Check
}

func (f *fleet) Status(context.Context) (operator.Status, error) {
	return operator.Status{Daemon: "r1", Revision: 3, Members: []operator.Member{{ID: "r1"}, {ID: "r2"}}}, f.err
}

func (f *fleet) Backends(context.Context) ([]operator.Backend, error) {
	return []operator.Backend{{Name: "e1", Pool: "chat", Load: 1.5, Owner: "r2"}}, f.err
}

func (f *fleet) InForce(_ context.Context, revision int64) (operator.InForce, error) {
	if revision == 0 && f.outage != nil {
		return operator.InForce{}, f.outage
	}
	return operator.InForce{Revision: 4, Routers: []operator.RouterRevision{{Router: "r2", Revision: 4, Answered: true}}}, f.err
}

func (f *fleet) Drain(_ context.Context, t operator.Target) (operator.Drained, error) {
	f.changes = append(f.changes, "drain "+t.Backend+t.Reason)
	f.running--
	return operator.Drained{Target: t.Backend, State: "draining", Running: f.running}, f.err
}

func (f *fleet) Undrain(_ context.Context, t operator.Target) (operator.Drained, error) {
	f.changes = append(f.changes, "undrain "+t.Backend)
	return operator.Drained{Target: t.Backend, State: "service"}, f.err
}

func (f *fleet) Release(_ context.Context, fingerprint string) error {
	f.changes = append(f.changes, "release "+fingerprint)
	return f.err
}

func (f *fleet) Doctor(context.Context) ([]operator.Check, error) { return f.checks, f.err }

func (f *fleet) Timeline(_ context.Context, filter timeline.Filter) (operator.Timeline, error) {
	return operator.Timeline{Events: []timeline.Event{{Daemon: "r1", Kind: timeline.Placed, Chat: filter.Chat}}, Missing: f.missing}, f.err
}

func run(f *fleet, input string, args ...string) (exit.Code, string, string) {
	var out, errs bytes.Buffer
	code := command.Main(context.Background(), args, command.Streams{In: strings.NewReader(input), Out: &out, Err: &errs}, f)
	return code, out.String(), errs.String()
}

// Each failure must keep its exit code, because scripts rely on the codes.
func TestExitCodes(t *testing.T) {
	refused := func(code operator.Code) *fleet {
		return &fleet{err: &operator.Error{Code: code, Message: "refused", Remedy: "do this"}}
	}
	for name, test := range map[string]struct {
		fleet *fleet
		args  []string
		code  exit.Code
	}{
		"success":                 {new(fleet), []string{"status"}, 0},
		"other":                   {&fleet{err: errors.New("x")}, []string{"status"}, 1},
		"usage":                   {new(fleet), []string{"drain"}, 2},
		"two targets":             {new(fleet), []string{"drain", "e1", "--self", "--yes"}, 2},
		"unknown flag":            {new(fleet), []string{"status", "--colour"}, 2},
		"certificate without key": {new(fleet), []string{"status", "--tls-cert=x"}, 2},
		"invalid":                 {refused(operator.Invalid), []string{"undrain", "e1"}, 2},
		"not found":               {refused(operator.NotFound), []string{"undrain", "e1"}, 8},
		"no role":                 {refused(operator.Unauthenticated), []string{"status"}, 10},
		"forbidden":               {refused(operator.Forbidden), []string{"undrain", "e1"}, 10},
		"conflict":                {refused(operator.Conflict), []string{"drain", "e1", "-y"}, 4},
		"unavailable":             {refused(operator.Unavailable), []string{"status"}, 6},
		"unhealthy":               {&fleet{checks: []operator.Check{{Level: operator.Failure}}}, []string{"doctor"}, 11},
		"warning":                 {&fleet{checks: []operator.Check{{Level: operator.Warning}}}, []string{"doctor"}, 0},
		"missing":                 {&fleet{missing: []string{"r9"}}, []string{"timeline"}, 12},
		"unconfirmed":             {new(fleet), []string{"drain", "e1"}, 13},
		"bad config":              {new(fleet), []string{"config", "explain", "x", "--objects=http://127.0.0.1:1"}, 6},
		"help":                    {new(fleet), []string{"--help"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			code, _, errs := run(test.fleet, "", test.args...)
			qt.Assert(t, code, qt.Equals, test.code, qt.Commentf(errs))
		})
	}
}

// A disruptive command must not run unless the user or --yes confirms it.
func TestConfirmation(t *testing.T) {
	for name, test := range map[string]struct {
		input string
		args  []string
		want  []string
	}{
		"no":      {"n\n", []string{"drain", "e1"}, nil},
		"eof":     {"", []string{"quarantine", "release", "f1"}, nil},
		"yes":     {"y\n", []string{"drain", "e1", "--reason= fan"}, []string{"drain e1 fan"}},
		"flag":    {"", []string{"quarantine", "release", "f1", "--yes"}, []string{"release f1"}},
		"undrain": {"", []string{"undrain", "e1"}, []string{"undrain e1"}},
		"waits":   {"", []string{"drain", "e1", "-y", "--wait=1m"}, []string{"drain e1", "drain e1"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fleet{running: 2}
			run(f, test.input, test.args...)
			qt.Assert(t, f.changes, qt.DeepEquals, test.want)
		})
	}
}

// JSON output must be parseable, and the output must show routers that did not answer.
func TestOutput(t *testing.T) {
	c := qt.New(t)
	_, out, _ := run(new(fleet), "", "status", "--output=json")
	var report struct {
		Backends []operator.Backend `json:"backends"`
	}
	c.Assert(json.Unmarshal([]byte(out), &report), qt.IsNil)
	c.Assert(report.Backends[0].Owner, qt.Equals, "r2")

	_, out, _ = run(new(fleet), "", "status")
	c.Assert(out, qt.Matches, `(?s).*r1 +- +- +- +0 +0 +no\n.*r2 +- +- +- +0 +4 +yes\n.*`)

	outage := &operator.Error{Code: operator.Unavailable, Message: "object api does not answer", Remedy: "wait"}
	code, out, errs := run(&fleet{outage: outage}, "", "status")
	c.Assert(code, qt.Equals, exit.OK, qt.Commentf(errs))
	c.Assert(out, qt.Contains, "unknown")

	page := filepath.Join(t.TempDir(), "line.html")
	code, _, errs = run(&fleet{missing: []string{"r9"}}, "", "timeline", "--chat=c5", "--html="+page)
	c.Assert(code, qt.Equals, exit.Incomplete)
	c.Assert(errs, qt.Contains, "r9")
	content, err := os.ReadFile(page)
	c.Assert(err, qt.IsNil)
	c.Assert(string(content), qt.Contains, "chat=c5")
}

// The completion scripts must offer the commands and subcommands.
func TestCompletion(t *testing.T) {
	for shell, want := range map[string]string{
		"bash": `"quarantine") words="list release `,
		"zsh":  "#compdef hornbeamctl",
		"fish": `"__fish_seen_subcommand_from quarantine" -a "release"`,
	} {
		code, out, _ := run(new(fleet), "", "completion", shell)
		qt.Check(t, code, qt.Equals, exit.OK)
		qt.Check(t, out, qt.Contains, want)
	}
}
