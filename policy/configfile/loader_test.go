package configfile_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/policy"
	"hornbeamstep.example/policy/configfile"
)

// accounts returns n client accounts spread evenly over a number of files, preceded by a file that
// defines their pool and model.
func accounts(n, files int, rate float64) []configfile.File {
	out := []configfile.File{{Name: "a.yaml", Data: []byte("pools: {p: {}}\nmodels: {m: {pool: p}}\n")}}
	for f := range files {
		var b strings.Builder
		b.WriteString("accounts:\n")
		for i := range n / files {
			id := f*n/files + i
			fmt.Fprintf(&b, "  account-%d:\n    keys: [%s]\n    models: [m]\n    class: normal\n    weight: 2\n    rate: %g\n    tokens: 1000\n",
				id, policy.Digest(fmt.Sprint(id)), rate)
		}
		out = append(out, configfile.File{Name: fmt.Sprintf("b%03d.yaml", f), Data: []byte(b.String())})
	}
	return out
}

// Guards against a Loader that returns cached values or errors of files that have been changed or
// removed.
func TestLoaderEqualsLoad(t *testing.T) {
	var l configfile.Loader
	one, two := accounts(20, 4, 1), accounts(20, 4, 2)
	invalid := configfile.File{Name: "c.yaml", Data: []byte("pools: {p: {bound: 0}}\n")}
	for i, files := range [][]configfile.File{one, two, append(one[:3:3], two[3:]...), append(two[:2:2], invalid), one[:3]} {
		got, gotErr := l.Load(files)
		want, wantErr := configfile.Load(files)
		qt.Assert(t, fmt.Sprint(gotErr), qt.Equals, fmt.Sprint(wantErr), qt.Commentf("load %d", i))
		if want != nil {
			qt.Assert(t, got.Policy().Accounts, qt.DeepEquals, want.Policy().Accounts, qt.Commentf("load %d", i))
		}
	}
}

// BenchmarkLoad loads 9000 client accounts in 30 files: all of them, and after a change of one
// file.
func BenchmarkLoad(b *testing.B) {
	files, changed := accounts(9000, 30, 1), accounts(9000, 30, 2)
	b.Run("first", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = configfile.Load(files)
		}
	})
	b.Run("one file changed", func(b *testing.B) {
		b.ReportAllocs()
		var l configfile.Loader
		_, _ = l.Load(files)
		for i := 0; b.Loop(); i++ {
			next := append(files[:30:30], [][]configfile.File{changed, files}[i%2][30])
			_, _ = l.Load(next)
		}
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		b.ReportMetric(float64(m.HeapAlloc)/(1<<20), "MB-kept")
		runtime.KeepAlive(&l)
	})
}
