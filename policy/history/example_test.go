package history_test

import (
	"context"
	"fmt"

	"hornbeamstep.example/policy/configfile"
	"hornbeamstep.example/policy/history"
	"hornbeamstep.example/ports/objectapi"
)

func ExampleHistory_Push() {
	ctx := context.Background()
	h := &history.History{Store: &objectapi.Memory{}}
	pools := []configfile.File{{Name: "pools.yaml", Data: []byte("pools: {letters: {}}\n")}}
	r, _ := h.Push(ctx, history.Change{Base: 0, Author: "amina", Message: "first", Files: pools, Push: "push-1"})
	fmt.Println("head", r.Number)
	pools[0].Data = []byte("pools: {letters: {bound: 2}}\n")
	_, err := h.Push(ctx, history.Change{Base: 0, Author: "thabo", Message: "more", Files: pools, Push: "push-2"})
	fmt.Println(err)
	// Output:
	// head 1
	// revision 1 by amina ("first") replaced revision 0; show the difference, merge it into the folder and push with base 1
}
