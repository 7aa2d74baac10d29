package codec

import "github.com/fxamacker/cbor/v2"

// Limits on decoded values.
const (
	maxNestedLevels = 8
	maxElements     = 4096 // of one array or map
)

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

// Encode returns the deterministic encoding of v. It panics if the type of v
// can't be encoded, which is a programming error.
func Encode(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode decodes b into v, which must be a pointer. The error is a *DecodeError.
func Decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return &DecodeError{Err: err}
	}
	return nil
}

func newEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
