package operator

import (
	"encoding/json"

	"github.com/sycamorecourse/sycamorecourse/standin/rowstore"
)

// upstreamTable is the table in which upstreams register.
const upstreamTable = "servers"

// Upstream is the entry of an upstream.
type Upstream struct {
	// ID names its present start.
	ID string `json:"-"`
	// Service is what it runs.
	Service string `json:"service"`
	// Address is its IP and port.
	Address string `json:"address"`
	// FailureDomain is where it stands.
	FailureDomain string `json:"zone"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots"`
	// State says whether it takes new requests.
	State State `json:"state"`
	// Sequence grows with each entry of the same start.
	Sequence int `json:"sequence"`
}

// Write registers the upstream, on the duty of the store.
func (u Upstream) Write(store *rowstore.Store) error {
	value, err := json.Marshal(u)
	if err != nil {
		return err
	}
	WriteEntry(store, u.ID, value)
	return nil
}

// WriteEntry puts any bytes where the entry of an upstream stands, on the duty of
// the store.
func WriteEntry(store *rowstore.Store, id string, text []byte) {
	store.Put(upstreamTable, id, text)
}

// Remove removes the entry of an upstream, on the duty of the store.
func Remove(store *rowstore.Store, id string) {
	store.Delete(upstreamTable, id)
}
