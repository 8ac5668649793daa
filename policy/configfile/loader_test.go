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

// accountFiles returns a file that defines a pool and a model, followed by files that define n
// client accounts in equal parts.
func accountFiles(n, files int, rate float64) []configfile.File {
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

// A Loader caches parsed files. Guards against cached values or errors of files that were
// changed or removed since. Each load has files in common with the load before it.
func TestLoaderEqualsLoad(t *testing.T) {
	var l configfile.Loader
	one, two := accountFiles(20, 4, 1), accountFiles(20, 4, 2)
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

// BenchmarkLoad loads 9000 client accounts in 30 files, once without a cache and once with a Loader
// that has cached all files except one.
func BenchmarkLoad(b *testing.B) {
	files, changed := accountFiles(9000, 30, 1), accountFiles(9000, 30, 2)
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
			// The last file alternates between two contents.
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
