package peer

import "context"

// Inventory is a router's report to the planner: the demand for models, and the models and adapters
// that its engines have loaded.
type Inventory struct {
	// Demand is the rate of requests that the router receives, in requests per second, by model or
	// model:adapter.
	Demand map[string]float64 `json:"demand,omitempty"`
	// Engines lists the loaded models and adapters of each in-service engine that the router owns,
	// by engine name.
	Engines map[string][]string `json:"engines,omitempty"`
}

// Inventories provides the inventory of this router.
type Inventories interface {
	Inventory() Inventory
}

// Inventory fetches the inventory of a router for the planner.
func (n *Node) Inventory(ctx context.Context, router string) (Inventory, error) {
	if router == n.ID && n.Inventories != nil {
		return n.Inventories.Inventory(), nil
	}
	var in Inventory
	err := n.send(ctx, router, "inventory", struct{}{}, &in)
	return in, err
}
