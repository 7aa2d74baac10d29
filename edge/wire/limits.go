package wire

import "github.com/fxamacker/cbor/v2"

const (
	// MaxMessageBytes is the largest body of a message.
	MaxMessageBytes = 8 << 20
	// headerBytes is the length of the header of a message.
	headerBytes = 6
	// maxNesting is the deepest nesting of arrays and maps.
	maxNesting = 16
	// maxArrayElements is the largest number of elements of an array.
	maxArrayElements = 1 << 17
	// maxMapPairs is the largest number of pairs of a map.
	maxMapPairs = 64
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // only for options out of range
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // only for options out of range
	}
	return mode
}
