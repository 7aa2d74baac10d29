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

// Encode returns the message in its wire format.
func (a LimitAsk) Encode() ([]byte, error) {
	return cbor.Marshal(a)
}

// Encode returns the message in its wire format.
func (r LimitReply) Encode() ([]byte, error) {
	return cbor.Marshal(r)
}

// DecodeLimitAsk decodes a LimitAsk. It fails with a *DecodeError.
func DecodeLimitAsk(body []byte) (LimitAsk, error) {
	var a LimitAsk
	if err := decoding.Unmarshal(body, &a); err != nil {
		return LimitAsk{}, &DecodeError{Message: "limit ask", Err: err}
	}
	return a, nil
}

// DecodeLimitReply decodes a LimitReply. It fails with a *DecodeError.
func DecodeLimitReply(body []byte) (LimitReply, error) {
	var r LimitReply
	if err := decoding.Unmarshal(body, &r); err != nil {
		return LimitReply{}, &DecodeError{Message: "limit reply", Err: err}
	}
	return r, nil
}

// Encode returns the message in its wire format.
func (n HolderNews) Encode() ([]byte, error) {
	return cbor.Marshal(n)
}

// DecodeHolderNews decodes HolderNews. It fails with a *DecodeError.
func DecodeHolderNews(body []byte) (HolderNews, error) {
	var n HolderNews
	if err := decoding.Unmarshal(body, &n); err != nil {
		return HolderNews{}, &DecodeError{Message: "holder news", Err: err}
	}
	if n.Instance == "" {
		return HolderNews{}, &DecodeError{Message: "holder news", Err: &NoSenderError{}}
	}
	return n, nil
}

// Encode returns the message in its wire format.
func (a CatchUpAsk) Encode() ([]byte, error) {
	return cbor.Marshal(a)
}

// Encode returns the message in its wire format.
func (r CatchUpReply) Encode() ([]byte, error) {
	return cbor.Marshal(r)
}

// DecodeCatchUpAsk decodes a CatchUpAsk. It fails with a *DecodeError.
func DecodeCatchUpAsk(body []byte) (CatchUpAsk, error) {
	var a CatchUpAsk
	if err := decoding.Unmarshal(body, &a); err != nil {
		return CatchUpAsk{}, &DecodeError{Message: "catch-up ask", Err: err}
	}
	return a, nil
}

// DecodeCatchUpReply decodes a CatchUpReply. It fails with a *DecodeError.
func DecodeCatchUpReply(body []byte) (CatchUpReply, error) {
	var r CatchUpReply
	if err := decoding.Unmarshal(body, &r); err != nil {
		return CatchUpReply{}, &DecodeError{Message: "catch-up reply", Err: err}
	}
	return r, nil
}
