package order

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// Wanted is the state that an engine should come to. An order states the whole
// of it, so that giving it twice or late is the same as once.
type Wanted struct {
	// Models are those to serve; all others are unloaded.
	Models []Model `json:"models"`
	// Adapters are those to serve.
	Adapters []string `json:"adapters"`
	// Role is the role to take.
	Role string `json:"role"`
}

// ServeRole is the role of an engine that does both prefill and decoding.
const ServeRole = "serve"

// WantedOf returns the wanted state of the engines of a pool.
func WantedOf(d *intent.Document, pool *intent.Pool) Wanted {
	w := Wanted{Models: []Model{}, Adapters: []string{}, Role: ServeRole}
	for _, m := range d.Models {
		if m.Name == pool.Model {
			w.Models = append(w.Models, Model{Name: m.Name, Version: m.Version})
			w.Adapters = append(w.Adapters, m.Adapters...)
		}
	}
	return w
}
