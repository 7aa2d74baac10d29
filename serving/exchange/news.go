package exchange

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
)

// News is the response of a hub to a Poll.
type News struct {
	// Hub is the incarnation of the hub, within which Position counts.
	Hub uint64 `cbor:"1,keyasint"`
	// Position is the position up to which Records is complete.
	Position uint64 `cbor:"2,keyasint"`
	// Records are the records that have changed.
	Records []cluster.Record `cbor:"3,keyasint,omitempty"`
	// Clock is the hub's estimate of the store's clock.
	Clock time.Duration `cbor:"4,keyasint"`
	// Tables are the changes of the tables that the Poll names.
	Tables []TableUpdate `cbor:"5,keyasint,omitempty"`
}
