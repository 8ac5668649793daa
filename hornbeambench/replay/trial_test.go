package replay

import (
	"os"
	"strconv"
	"testing"
)

func TestTrial(t *testing.T) {
	name := os.Getenv("SCEN")
	if name == "" {
		t.Skip()
	}
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	c := Command{Scenario: name, Seed: seed}
	if err := c.run(os.Stdout); err != nil {
		t.Log(err)
	}
}
