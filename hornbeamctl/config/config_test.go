package config_test

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamctl/config"
	"hornbeamstep.example/ports/objectapi"
)

// routers reports two missing routers on its first two calls, and those in the field missing after
// that.
type routers struct {
	missing []string
	calls   int
}

func (r *routers) InForce(context.Context, int64) ([]string, []string, error) {
	r.calls++
	if r.calls < 3 {
		return nil, []string{"r-1", "r-2"}, nil
	}
	return []string{"r-1"}, r.missing, nil
}

// fixture runs config commands on a temporary folder and an in-memory object store.
type fixture struct {
	c   *qt.C
	env *config.Env
	out *bytes.Buffer
	dir string
}

func newFixture(t *testing.T) *fixture {
	out := &bytes.Buffer{}
	env := &config.Env{
		Context: context.Background(), Store: &objectapi.Memory{}, Routers: &routers{}, Out: out,
		Author: "amina", NewPushID: func() string { return "id" }, PollInterval: time.Millisecond,
	}
	return &fixture{c: qt.New(t), env: env, out: out, dir: t.TempDir()}
}

func (f *fixture) write(text string) {
	f.c.Assert(os.WriteFile(filepath.Join(f.dir, "a.yaml"), []byte(text), 0o600), qt.IsNil)
}

// run returns the exit code and the output of a command line.
func (f *fixture) run(args ...string) (int, string) {
	f.out.Reset()
	var cli struct {
		Config config.Commands `cmd:""`
	}
	parser, err := kong.New(&cli)
	f.c.Assert(err, qt.IsNil)
	k, err := parser.Parse(append([]string{"config"}, args...))
	f.c.Assert(err, qt.IsNil)
	err = k.Run(f.env)
	var code kong.ExitCoder
	if errors.As(err, &code) {
		return code.ExitCode(), f.out.String()
	}
	f.c.Assert(err, qt.IsNil)
	return 0, f.out.String()
}

// Each command must return the documented exit code, because scripts depend on it.
func TestCommands(t *testing.T) {
	f := newFixture(t)
	expect := func(code int, part string, args ...string) {
		f.c.Helper()
		got, out := f.run(args...)
		f.c.Assert(got, qt.Equals, code, qt.Commentf("%v\n%s", args, out))
		f.c.Assert(out, qt.Contains, part)
	}
	expect(config.ExitNotFound, "", "history")
	f.write("pools: {p: {bond: 1}}")
	expect(config.ExitInvalid, "use one of bound, memory, queue, wait", "check", f.dir)
	expect(config.ExitInvalid, "", "push", f.dir, "-m", "x", "--base", "0")
	f.write("pools: {p: {bound: 2}}")
	expect(0, "1 values", "check", f.dir)
	expect(config.ExitDiffers, "pools.p.bound  -       2", "diff", f.dir)
	expect(0, "IN FORCE", "push", f.dir, "-m", "first", "--base", "0", "--wait")
	expect(0, "KEY", "diff", f.dir)
	f.write("pools: {p: {bound: 3}}")
	expect(config.ExitConflict, "", "push", f.dir, "-m", "x", "--base", "0")
	f.env.Routers = &routers{missing: []string{"r-2"}}
	expect(config.ExitNotInForce, "MISSING", "push", f.dir, "-m", "second", "--base", "1", "--wait", "--limit", "20ms")
	expect(0, "second", "history")
	expect(0, "amina", "show", "1")
	expect(config.ExitNotFound, "", "show", "9")
	expect(0, "3      a.yaml  1     in force", "explain", "pools.p.bound")
	expect(0, "default", "explain", "pools.p.queue")
	expect(config.ExitNotFound, "", "explain", "pools.p.size")
	f.env.JSON = true
	expect(0, `"value": "2"`, "explain", "pools.p.bound", "--rev", "1")
	f.env.Store = unavailableStore{}
	expect(config.ExitUnavailable, "", "history")
	f.env.Routers = nil
	expect(config.ExitFailed, "", "push", f.dir, "-m", "x", "--base", "0", "--wait")
}

// unavailableStore fails every read of an object.
type unavailableStore struct{ objectapi.Store }

func (unavailableStore) Get(context.Context, string, string) (objectapi.Object, error) {
	return objectapi.Object{}, &objectapi.UnavailableError{}
}
