package revision_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hornbeamstep.example/coord/revision"
)

func ExampleState() {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	relay := revision.New(revision.Config{}, now, rand.New(rand.NewPCG(1, 1)))
	other := revision.New(revision.Config{Quorum: 1}, now, rand.New(rand.NewPCG(2, 2)))
	content := []byte("accounts: []")
	manifest := revision.Manifest{Revision: 7, Files: []revision.File{{Name: "accounts.yaml", Digest: revision.Digest(content)}}}
	relay.Load(now, manifest, [][]byte{content})
	now = now.Add(revision.DefaultSettleTimeout)
	relay.Tick(now)
	for _, a := range other.HandlePeerRevision(now, "relay", relay.Revision()) {
		other.HandleReply(now, a.To[0], relay.HandleFetch(now, a.Fetch))
	}
	fmt.Println(other.Revision())
	// Output: 7
}
