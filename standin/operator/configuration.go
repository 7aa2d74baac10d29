package operator

import (
	"encoding/json"

	"github.com/sycamorecourse/sycamorecourse/standin/rowstore"
)

// Configuration is the configuration that the operators publish.
type Configuration struct {
	// Version increases with each published configuration.
	Version int `json:"version"`
	// Routes are the routes, in any order.
	Routes []Route `json:"routes"`
	// Services are the services that the routes refer to.
	Services []Service `json:"services"`
	// Limits are the size and idle limits for callers.
	Limits Limits `json:"limits"`
	// Customers are the customers whose callers may send requests.
	Customers []Customer `json:"tenants"`
}

// Write stores the configuration as JSON. It must run on the thread of the store.
func (c Configuration) Write(store *rowstore.Store) error {
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	WriteRawConfiguration(store, value)
	return nil
}

// WriteRawConfiguration stores text, which may be malformed, in the row of the
// configuration. It must run on the thread of the store.
func WriteRawConfiguration(store *rowstore.Store, text []byte) {
	store.Put("op", "config", text)
}
