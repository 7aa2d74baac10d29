package operator

import (
	"encoding/json"

	"github.com/sycamorecourse/sycamorecourse/standin/rowstore"
)

// Configuration is what the operators configure.
type Configuration struct {
	// Version grows with each configuration.
	Version int `json:"version"`
	// Routes are the routes in any order.
	Routes []Route `json:"routes"`
	// Services are the services that routes name.
	Services []Service `json:"services"`
	// Limits bound what callers may send.
	Limits Limits `json:"limits"`
	// Customers are all customers.
	Customers []Customer `json:"tenants"`
}

// Write puts the configuration into the store, on the duty of the store.
func (c Configuration) Write(store *rowstore.Store) error {
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	WriteText(store, value)
	return nil
}

// WriteText puts any bytes where the configuration stands, on the duty of the
// store.
func WriteText(store *rowstore.Store, text []byte) {
	store.Put("op", "config", text)
}
