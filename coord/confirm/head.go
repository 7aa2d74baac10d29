package confirm

import (
	"github.com/sycamorecourse/sycamorecourse/coord/internal/codec"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// Head identifies the newest version of a chain. Version 0 means that the chain
// is empty.
type Head struct {
	// Version is the version of the newest configuration.
	Version uint64 `cbor:"1,keyasint"`
	// PlanID identifies the plan that became this version.
	PlanID string `cbor:"2,keyasint"`
	// Digest is the digest of the newest configuration.
	Digest uint64 `cbor:"3,keyasint"`
}

// DecodeHead decodes the head row, which may be absent. The error is an
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
