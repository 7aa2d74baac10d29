package codec

import "github.com/fxamacker/cbor/v2"

const (
	maxNestedLevels = 8
	maxElements     = 4096
)

var (
	encoding = newEncoding()
	decoding = newDecoding()
)

// Encode returns the deterministic encoding of v. It panics if the type of v
// can't be encoded, which is a fault of the program.
func Encode(v any) []byte {
	b, err := encoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode reads b into v. It fails with a *DecodeError.
func Decode(b []byte, v any) error {
	if err := decoding.Unmarshal(b, v); err != nil {
		return &DecodeError{Err: err}
	}
	return nil
}

func newEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoding() cbor.DecMode {
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
