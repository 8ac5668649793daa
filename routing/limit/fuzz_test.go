package limit_test

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Guards against the fleet exceeding a limit, or leaving half of it unused while there is demand, for any distribution
// of the demand over the routers.
func TestLimitAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "routers")
		weights := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0, 1, 5, 20, 60, 200}), n, n).Draw(t, "demand")
		sum := 0.0
		for _, w := range weights {
			sum += w
		}
		got := runFleet(weights)
		// Each router may round up by one request in the measured 20 s.
		if got > 100+float64(n)/20 {
			t.Fatalf("%v requests per second with a limit of 100", got)
		}
		if got < min(sum, 100)/2-1 {
			t.Fatalf("%v requests per second with a demand of %v", got, sum)
		}
	})
}

// TestMain fixes the seed so that runs are reproducible; -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
