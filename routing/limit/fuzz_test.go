package limit_test

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a split of the demand over the routers by which the fleet exceeds a limit, or leaves half of it unused
// while there is demand.
func TestLimitAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "routers")
		weights := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0, 1, 5, 20, 60, 200}), n, n).Draw(t, "demand")
		sum := 0.0
		for _, w := range weights {
			sum += w
		}
		got := fleet(weights)
		// Each router may round up by one request in the 20 s that are counted.
		if got > 100+float64(n)/20 {
			t.Fatalf("%v requests a second of a limit of 100", got)
		}
		if got < min(sum, 100)/2-1 {
			t.Fatalf("%v requests a second of a demand of %v", got, sum)
		}
	})
}

// TestMain fixes the seed, so that the verdict never varies; another one can be given with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
