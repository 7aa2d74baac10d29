package dispatch

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/sycamorecourse/sycamorecourse/serving/answer"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// recordedAnswer is the encoded form of an answer in the record of its request.
type recordedAnswer struct {
	Text   string                `cbor:"1,keyasint,omitempty"`
	Tokens int                   `cbor:"2,keyasint,omitempty"`
	Reply  *request.ServiceReply `cbor:"3,keyasint,omitempty"`
	// Parts are the pieces of Text. The records of former releases have none.
	Parts []recordedPart `cbor:"4,keyasint,omitempty"`
}

// newRecordedAnswer returns the form of a complete answer.
func newRecordedAnswer(log *answer.Log, reply *request.ServiceReply) *recordedAnswer {
	a := &recordedAnswer{Text: log.Text(), Tokens: log.Tokens(), Reply: reply}
	for _, p := range log.From(0) {
		a.Parts = append(a.Parts, recordedPart{Bytes: len(p.Text), Tokens: p.Tokens})
	}
	return a
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
	for _, part := range stored.partsFrom(e.answer.Len(), len(rest), e.answer.Tokens()) {
		// Append can't fail: the index is the next one.
		_ = e.answer.Append(request.Piece{
			Attempt: e.attempt, Index: e.answer.Len(), Tokens: part.Tokens, Text: rest[:part.Bytes],
		})
		rest = rest[part.Bytes:]
	}
}

// partsFrom returns the parts from an index on, which are the last bytes of the text. If
// the parts don't tell them, because their record has none or other ones before the index,
// it returns a single one with the tokens after those before.
func (a *recordedAnswer) partsFrom(index, bytes, tokensBefore int) []recordedPart {
	whole := []recordedPart{{Bytes: bytes, Tokens: a.Tokens - tokensBefore}}
	if index >= len(a.Parts) {
		return whole
	}
	parts := a.Parts[index:]
	for _, part := range parts {
		bytes -= part.Bytes
		if part.Bytes < 0 {
			return whole
		}
	}
	if bytes != 0 {
		return whole
	}
	return parts
}
