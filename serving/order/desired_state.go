package order

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// DesiredState is the state that an engine should reach. An order contains all
// of it, so that orders are idempotent.
type DesiredState struct {
	// Models are the models to serve; the engine unloads all others.
	Models []Model `json:"models"`
	// Adapters are the adapters to serve.
	Adapters []string `json:"adapters"`
	// Role is the role of the engine, such as ServeRole.
	Role string `json:"role"`
}

// ServeRole is the role of an engine that does both prefill and decoding.
const ServeRole = "serve"

// DesiredStateOf returns the desired state of the engines of a pool.
func DesiredStateOf(d *intent.Document, pool *intent.Pool) DesiredState {
	desired := DesiredState{Models: []Model{}, Adapters: []string{}, Role: ServeRole}
	for _, m := range d.Models {
		if m.Name == pool.Model {
			desired.Models = append(desired.Models, Model{Name: m.Name, Version: m.Version})
			desired.Adapters = append(desired.Adapters, m.Adapters...)
		}
	}
	return desired
}
