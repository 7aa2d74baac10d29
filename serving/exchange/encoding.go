package exchange

import (
	"github.com/fxamacker/cbor/v2"
)

// Limits of a decoded message. The largest real one holds a whole table.
const (
	maxElements = 1 << 17
	maxNesting  = 8
)

// decoding bounds what a malformed message can make a gateway allocate.
var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode returns the message in its wire format.
func (p Poll) Encode() ([]byte, error) {
	return cbor.Marshal(p)
}

// Encode returns the message in its wire format.
func (n News) Encode() ([]byte, error) {
	return cbor.Marshal(n)
}

// DecodePoll decodes a Poll. It fails with a *DecodeError.
func DecodePoll(body []byte) (Poll, error) {
	var p Poll
	if err := decoding.Unmarshal(body, &p); err != nil {
		return Poll{}, &DecodeError{Message: "poll", Err: err}
	}
	if p.Record.Instance == "" {
		return Poll{}, &DecodeError{Message: "poll", Err: &NoSenderError{}}
	}
	return p, nil
}

// DecodeNews decodes News. It fails with a *DecodeError.
func DecodeNews(body []byte) (News, error) {
	var n News
	if err := decoding.Unmarshal(body, &n); err != nil {
		return News{}, &DecodeError{Message: "news", Err: err}
	}
	return n, nil
}
