package peer_test

import (
	"context"
	"fmt"

	"hornbeamstep.example/hornbeamd/peer"
)

func ExampleNode() {
	ctx, cancel := context.WithCancel(context.Background())
	a := &peer.Node{ID: "a", Zone: "howick", Region: "natal", Listen: "127.0.0.1:0"}
	done := make(chan error, 2)
	go func() { done <- a.Run(ctx) }()
	<-a.Ready()
	b := &peer.Node{ID: "b", Zone: "mooi", Region: "natal", Listen: "127.0.0.1:0", Seeds: []string{a.Address()}}
	go func() { done <- b.Run(ctx) }()
	waitFor(func() bool { return len(a.Members().Members) == 2 && b.Owners().Trusted })
	for _, m := range b.Members().Members {
		fmt.Println(m.ID, m.Zone)
	}
	cancel()
	fmt.Println(<-done, <-done)
	// Output:
	// a howick
	// b mooi
	// <nil> <nil>
}
