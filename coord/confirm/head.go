package confirm

import (
	"github.com/sycamorecourse/sycamorecourse/coord/internal/codec"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// Head is the newest version of a chain. Version 0 is the empty chain.
type Head struct {
	// Version is the version of the newest configuration.
	Version uint64 `cbor:"1,keyasint"`
	// PlanID is the plan that made it.
	PlanID string `cbor:"2,keyasint"`
	// Digest is the digest of its configuration.
	Digest uint64 `cbor:"3,keyasint"`
}

// DecodeHead reads the head from its row, present or absent. It fails with an
// *InvalidError.
func DecodeHead(r row.Row) (Head, error) {
	if r.Version == 0 {
		return Head{}, nil
	}
	var head Head
	if err := codec.Decode(r.Value, &head); err != nil {
		return Head{}, &InvalidError{Version: r.Version, Err: err}
	}
	if head.Version != r.Version {
		return Head{}, &InvalidError{Version: r.Version, Err: &VersionMismatchError{Stored: head.Version}}
	}
	return head, nil
}
