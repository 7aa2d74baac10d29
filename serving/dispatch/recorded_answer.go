package dispatch

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// recordedAnswer is an answer as it is kept in the record of its request.
type recordedAnswer struct {
	Text   string                `cbor:"1,keyasint,omitempty"`
	Tokens int                   `cbor:"2,keyasint,omitempty"`
	Reply  *request.ServiceReply `cbor:"3,keyasint,omitempty"`
}

// encodeRecorded returns nil for an answer larger than limit bytes.
func encodeRecorded(a *recordedAnswer, limit int) []byte {
	encoded, err := cbor.Marshal(a)
	if err != nil || len(encoded) > limit {
		return nil
	}
	return encoded
}

// decodeRecorded returns nil for an answer that was not kept.
func decodeRecorded(encoded []byte) (*recordedAnswer, error) {
	if len(encoded) == 0 {
		return nil, nil
	}
	var a recordedAnswer
	if err := cbor.Unmarshal(encoded, &a); err != nil {
		return nil, err
	}
	return &a, nil
}

// complete appends what a recorded answer has beyond the pieces so far.
func (e *entry) complete(kept *recordedAnswer) {
	rest, found := strings.CutPrefix(kept.Text, e.log.Text())
	if kept.Reply != nil || !found || rest == "" {
		return
	}
	// The index follows by construction.
	_ = e.log.Append(request.Piece{
		Attempt: e.attempt,
		Index:   e.log.Len(),
		Tokens:  kept.Tokens - e.log.Tokens(),
		Text:    rest,
	})
}
