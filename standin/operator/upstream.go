package operator

import (
	"encoding/json"

	"github.com/sycamorecourse/sycamorecourse/standin/rowstore"
)

// upstreamTable is the table in which upstreams register themselves.
const upstreamTable = "servers"

// Upstream is the entry with which an upstream registers itself.
type Upstream struct {
	// ID is the key of the entry. A process that restarts gets a new ID.
	ID string `json:"-"`
	// Service is the name of the service that it runs.
	Service string `json:"service"`
	// Address is the IP and port that it listens on.
	Address string `json:"address"`
	// FailureDomain is the failure domain that it runs in.
	FailureDomain string `json:"zone"`
	// Slots is the number of requests that it runs concurrently.
	Slots int `json:"slots"`
	// State is whether it accepts new requests.
	State UpstreamState `json:"state"`
	// Version is the version of its software; empty is left out.
	Version string `json:"version,omitempty"`
	// StartedAtMillis is its start in Unix milliseconds; 0 is left out.
	StartedAtMillis int64 `json:"born,omitempty"`
	// Sequence increases with each write under the same ID.
	Sequence int `json:"sequence"`
}

// Write stores the entry as JSON. It must run on the thread of the store.
func (u Upstream) Write(store *rowstore.Store) error {
	value, err := json.Marshal(u)
	if err != nil {
		return err
	}
	WriteRawUpstream(store, u.ID, value)
	return nil
}

// WriteRawUpstream stores text, which may be malformed, as the entry of an
// upstream. It must run on the thread of the store.
func WriteRawUpstream(store *rowstore.Store, id string, text []byte) {
	store.Put(upstreamTable, id, text)
}

// RemoveUpstream deletes the entry of an upstream. It must run on the thread of
// the store.
func RemoveUpstream(store *rowstore.Store, id string) {
	store.Delete(upstreamTable, id)
}
