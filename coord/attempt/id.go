package attempt

import "github.com/sycamorecourse/sycamorecourse/coord/row"

const partitionPrefix = "attempt/"

// ID names a request. Keys of different customers never meet.
type ID struct {
	// Customer is the customer as authenticated.
	Customer string `cbor:"1,keyasint"`
	// Key is what the caller named the request.
	Key string `cbor:"2,keyasint"`
}

// Row returns the key of the row that records the request.
func (id ID) Row() row.Key {
	return row.Key{Partition: partitionPrefix + id.Customer, Sort: id.Key}
}

// String implements fmt.Stringer.
func (id ID) String() string {
	return id.Customer + "/" + id.Key
}
