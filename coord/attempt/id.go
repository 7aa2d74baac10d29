package attempt

import "github.com/sycamorecourse/sycamorecourse/coord/row"

const partitionPrefix = "attempt/"

// ID names a request. Different customers may use the same key.
type ID struct {
	// Customer is the authenticated customer.
	Customer string `cbor:"1,keyasint"`
	// Key is the idempotency key that the caller chose.
	Key string `cbor:"2,keyasint"`
}

// RowKey returns the key of the row that records the request.
func (id ID) RowKey() row.Key {
	return row.Key{Partition: partitionPrefix + id.Customer, Sort: id.Key}
}

// String implements fmt.Stringer.
func (id ID) String() string {
	return id.Customer + "/" + id.Key
}
