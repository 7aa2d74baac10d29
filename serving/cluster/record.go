package cluster

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/limit"
	"github.com/sycamorecourse/sycamorecourse/serving/quarantine"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
	"github.com/sycamorecourse/sycamorecourse/serving/roster"
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
)

// Record is what a gateway publishes about itself at each heartbeat. It is the
// value of the gateway's row in the store.
type Record struct {
	// Instance names the instance; it is the key of the row.
	Instance string `cbor:"1,keyasint"`
	// Incarnation differs for each start of the process.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence counts the writes of the row by this incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// FailureDomain is the failure domain of the instance.
	FailureDomain string `cbor:"4,keyasint"`
	// Address is where callers connect.
	Address string `cbor:"5,keyasint"`
	// Ready reports whether the gateway accepts requests.
	Ready bool `cbor:"6,keyasint"`
	// ClockOffset is the gateway's wall clock minus the store's clock.
	ClockOffset time.Duration `cbor:"7,keyasint" json:"Offset"`
	// Windows counts the requests that began to run, by usage window and customer.
	Windows map[int64]map[string]uint64 `cbor:"8,keyasint,omitempty"`
	// Loads is the load that the gateway puts on each service.
	Loads map[string]scale.Load `cbor:"10,keyasint,omitempty"`
	// WrittenAt is the writer's estimate of the store's clock at the write, or 0 if
	// it had none.
	WrittenAt time.Duration `cbor:"11,keyasint,omitempty" json:"At"`
	// PeerAddress is where other gateways poll for news; empty if they can't.
	PeerAddress string `cbor:"14,keyasint,omitempty"`
	// Evidence is what the gateway knows of prompt parts that may crash upstreams, with
	// times of the store's clock.
	Evidence []quarantine.Evidence `cbor:"15,keyasint,omitempty"`
	// Draining are the upstreams that have lately told the gateway that they are
	// leaving, or whose entries had said so before the store was restored.
	Draining []roster.Incarnation `cbor:"16,keyasint,omitempty"`
	// Used is what each customer used of its limit at this gateway in the window over
	// which limits are counted, and Reserves what it may use beyond that.
	Used     map[string]limit.Use     `cbor:"18,keyasint,omitempty"`
	Reserves map[string]limit.Reserve `cbor:"19,keyasint,omitempty"`
	// CountedAt is the writer's estimate of the store's clock when it counted Used and
	// Reserves, or 0 if it had none.
	CountedAt time.Duration `cbor:"20,keyasint,omitempty"`
	// Rollouts are the newest stages of roll-outs that the gateway knows, and
	// RolloutEvidence what it has counted in them.
	Rollouts        []rollout.Stage    `cbor:"21,keyasint,omitempty"`
	RolloutEvidence []rollout.Evidence `cbor:"22,keyasint,omitempty"`
	// Config is the version of the configuration that the gateway uses; 0 if it has none.
	Config uint64 `cbor:"23,keyasint,omitempty"`
	// Share is the part of each limit, from 0 to 1, that the gateway uses at most while it
	// does not know what the others use; 0 in the records of releases that don't tell.
	Share float64 `cbor:"24,keyasint,omitempty"`
	// Timeline is that of the store which the writer knew: it rises when the store comes
	// back from an older copy. 0 if the store doesn't tell.
	Timeline uint64 `cbor:"25,keyasint,omitempty"`
	// Ended reports that the process of this Incarnation has ended in an orderly way: it has
	// counted all that it has used of limits, and uses nothing any more.
	Ended bool `cbor:"26,keyasint,omitempty"`
	// Age and CountAge are the times from the write, and from CountedAt, to the read, by
	// the store's clock. The reader sets them; they are not stored.
	Age      time.Duration `cbor:"-"`
	CountAge time.Duration `cbor:"-"`
}
