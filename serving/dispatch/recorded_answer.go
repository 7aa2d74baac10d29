package dispatch

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// recordedAnswer is the encoded form of an answer in the record of its request.
type recordedAnswer struct {
	Text   string                `cbor:"1,keyasint,omitempty"`
	Tokens int                   `cbor:"2,keyasint,omitempty"`
	Reply  *request.ServiceReply `cbor:"3,keyasint,omitempty"`
}

// encodeRecorded encodes an answer. It returns nil if that takes more than limit
// bytes: such an answer is not stored.
func encodeRecorded(a *recordedAnswer, limit int) []byte {
	encoded, err := cbor.Marshal(a)
	if err != nil || len(encoded) > limit {
		return nil
	}
	return encoded
}

// decodeRecorded decodes an answer. It returns nil if none was stored.
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

// appendRecorded appends the text of a recorded answer that follows the pieces
// so far. It appends nothing if the recorded text does not begin with them.
func (e *entry) appendRecorded(stored *recordedAnswer) {
	rest, found := strings.CutPrefix(stored.Text, e.answer.Text())
	if stored.Reply != nil || !found || rest == "" {
		return
	}
	// Append can't fail: the index is the next one.
	_ = e.answer.Append(request.Piece{
		Attempt: e.attempt,
		Index:   e.answer.Len(),
		Tokens:  stored.Tokens - e.answer.Tokens(),
		Text:    rest,
	})
}
