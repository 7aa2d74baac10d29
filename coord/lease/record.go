package lease

import (
	"github.com/sycamorecourse/sycamorecourse/coord/internal/codec"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// partition is the partition of all leases in the table.
const partition = "lease"

// Key returns the key of the row of a lease.
func Key(name string) row.Key {
	return row.Key{Partition: partition, Sort: name}
}

// Record is the value of the row of a lease.
type Record struct {
	// Holder is the last process that acquired the lease.
	Holder Holder `cbor:"1,keyasint"`
	// Fence is the fencing number of that holder.
	Fence uint64 `cbor:"2,keyasint"`
	// Released reports that the holder released the lease.
	Released bool `cbor:"3,keyasint,omitempty"`
}

// DecodeRecord decodes the record in a row that exists.
func DecodeRecord(r row.Row) (Record, error) {
	var record Record
	err := codec.Decode(r.Value, &record)
	return record, err
}
