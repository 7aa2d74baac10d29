package lease

import (
	"github.com/sycamorecourse/sycamorecourse/coord/internal/codec"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

const partition = "lease"

// Key returns the key of the row of a lease.
func Key(name string) row.Key {
	return row.Key{Partition: partition, Sort: name}
}

// Record is the value of the row of a lease.
type Record struct {
	// Holder is the last process that took the lease.
	Holder Holder `cbor:"1,keyasint"`
	// Fence is the fencing number of that holder.
	Fence uint64 `cbor:"2,keyasint"`
	// Released reports that the holder gave the lease up.
	Released bool `cbor:"3,keyasint,omitempty"`
}

// DecodeRecord reads a record from a row that is present.
func DecodeRecord(r row.Row) (Record, error) {
	var record Record
	err := codec.Decode(r.Value, &record)
	return record, err
}
