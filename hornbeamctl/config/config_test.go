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

type routers struct {
	missing []string
	asked   int
}

func (r *routers) InForce(context.Context, int64) ([]string, []string, error) {
	r.asked++
	if r.asked < 3 {
		return nil, []string{"r-1", "r-2"}, nil
	}
	return []string{"r-1"}, r.missing, nil
}

type bench struct {
	c   *qt.C
	env *config.Env
	out *bytes.Buffer
	dir string
}

func newBench(t *testing.T) *bench {
	out := &bytes.Buffer{}
	env := &config.Env{
		Context: context.Background(), Store: &objectapi.Memory{}, Routers: &routers{}, Out: out,
		Author: "amina", Push: func() string { return "id" }, Poll: time.Millisecond,
	}
	return &bench{c: qt.New(t), env: env, out: out, dir: t.TempDir()}
}

func (b *bench) write(text string) {
	b.c.Assert(os.WriteFile(filepath.Join(b.dir, "a.yaml"), []byte(text), 0o600), qt.IsNil)
}

// run returns the exit code and the output of a command line.
func (b *bench) run(args ...string) (int, string) {
	b.out.Reset()
	var cli struct {
		Config config.Commands `cmd:""`
	}
	parser, err := kong.New(&cli)
	b.c.Assert(err, qt.IsNil)
	k, err := parser.Parse(append([]string{"config"}, args...))
	b.c.Assert(err, qt.IsNil)
	err = k.Run(b.env)
	var code kong.ExitCoder
	if errors.As(err, &code) {
		return code.ExitCode(), b.out.String()
	}
	b.c.Assert(err, qt.IsNil)
	return 0, b.out.String()
}

// Guards against commands that end with the wrong exit code, on which scripts decide.
func TestCommands(t *testing.T) {
	b := newBench(t)
	expect := func(code int, part string, args ...string) {
		b.c.Helper()
		got, out := b.run(args...)
		b.c.Assert(got, qt.Equals, code, qt.Commentf("%v\n%s", args, out))
		b.c.Assert(out, qt.Contains, part)
	}
	expect(config.ExitNotFound, "", "history")
	b.write("pools: {p: {bond: 1}}")
	expect(config.ExitInvalid, "use one of bound, memory, queue, wait", "check", b.dir)
	expect(config.ExitInvalid, "", "push", b.dir, "-m", "x", "--base", "0")
	b.write("pools: {p: {bound: 2}}")
	expect(0, "1 values", "check", b.dir)
	expect(config.ExitDiffers, "pools.p.bound  -       2", "diff", b.dir)
	expect(0, "IN FORCE", "push", b.dir, "-m", "first", "--base", "0", "--wait")
	expect(0, "KEY", "diff", b.dir)
	b.write("pools: {p: {bound: 3}}")
	expect(config.ExitConflict, "", "push", b.dir, "-m", "x", "--base", "0")
	b.env.Routers = &routers{missing: []string{"r-2"}}
	expect(config.ExitNotInForce, "MISSING", "push", b.dir, "-m", "second", "--base", "1", "--wait", "--limit", "20ms")
	expect(0, "second", "history")
	expect(0, "amina", "show", "1")
	expect(config.ExitNotFound, "", "show", "9")
	expect(0, "3      a.yaml  1     in force", "explain", "pools.p.bound")
	expect(0, "default", "explain", "pools.p.queue")
	expect(config.ExitNotFound, "", "explain", "pools.p.size")
	b.env.JSON = true
	expect(0, `"value": "2"`, "explain", "pools.p.bound", "--rev", "1")
	b.env.Store = down{}
	expect(config.ExitUnavailable, "", "history")
	b.env.Routers = nil
	expect(config.ExitFailed, "", "push", b.dir, "-m", "x", "--base", "0", "--wait")
}

type down struct{ objectapi.Store }

func (down) Get(context.Context, string, string) (objectapi.Object, error) {
	return objectapi.Object{}, &objectapi.UnavailableError{}
}
