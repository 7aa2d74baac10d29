package wire

import "github.com/fxamacker/cbor/v2"

const (
	// MaxMessageBytes is the maximum length of a message body.
	MaxMessageBytes = 8 << 20
	// headerBytes is the length of a message header.
	headerBytes = 6
	// maxNesting is the maximum nesting depth of arrays and maps.
	maxNesting = 16
	// maxArrayElements is the maximum number of elements in an array.
	maxArrayElements = 1 << 17
	// maxMapPairs is the maximum number of pairs in a map.
	maxMapPairs = 64
)

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // only if an option is out of range
	}
	return mode
}

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // only if an option is out of range
	}
	return mode
}
