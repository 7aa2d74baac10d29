package operator

import (
	"encoding/json"

	"github.com/sycamorecourse/sycamorecourse/standin/rowstore"
)

// Tables of roll-outs, and the prefix of their keys.
const (
	rolloutOrderTable  = "op"
	rolloutStatusTable = "status"
	rolloutPrefix      = "rollout/"
)

// Rollout is an order to move a service to a version.
type Rollout struct {
	// Service names the service, and To the version.
	Service string `json:"service"`
	To      string `json:"to"`
	// DurationS is the time in which the roll-out should end, in seconds.
	DurationS float64 `json:"duration_s"`
}

// Write stores the order. It must run on the thread of the store.
func (r Rollout) Write(store *rowstore.Store) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	store.Put(rolloutOrderTable, rolloutPrefix+r.Service, value)
	return nil
}

// RolloutState returns the state that the system has written for the roll-out of a
// service; empty if there is none. It must run on the thread of the store.
func RolloutState(store *rowstore.Store, service string) (string, error) {
	for _, r := range store.Rows(rolloutStatusTable) {
		if r.Key != rolloutPrefix+service {
			continue
		}
		var status struct {
			State string `json:"state"`
		}
		err := json.Unmarshal(r.Value, &status)
		return status.State, err
	}
	return "", nil
}
