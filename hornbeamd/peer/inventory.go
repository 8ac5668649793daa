package peer

import "context"

// Inventory is what a router tells the planner.
type Inventory struct {
	// Demand is the rate of requests that this router gets, in requests a second by model or model:adapter.
	Demand map[string]float64 `json:"demand,omitempty"`
	// Engines holds the artifacts that are loaded on each engine in service that the router owns.
	Engines map[string][]string `json:"engines,omitempty"`
}

// Inventories tells the planner what this router knows.
type Inventories interface {
	Inventory() Inventory
}

// Inventory asks a router what it tells the planner.
func (n *Node) Inventory(ctx context.Context, router string) (Inventory, error) {
	if router == n.ID && n.Inventories != nil {
		return n.Inventories.Inventory(), nil
	}
	var in Inventory
	err := n.send(ctx, router, "inventory", struct{}{}, &in)
	return in, err
}
