package answer

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// Log is an answer so far: its pieces in order, without a gap. One thread owns
// it. The zero value is an empty answer.
type Log struct {
	pieces []request.Piece
	tokens int
	bytes  int
	digest hash.Hash
}

// Append adds the next piece. It fails with a *GapError, and adds nothing,
// when the index of the piece is not the number of pieces so far.
func (l *Log) Append(p request.Piece) error {
	if p.Index != len(l.pieces) {
		return &GapError{Want: len(l.pieces), Got: p.Index}
	}
	if l.digest == nil {
		l.digest = sha256.New()
	}
	// A hash never fails to take bytes.
	_, _ = l.digest.Write([]byte(p.Text))
	l.pieces = append(l.pieces, p)
	l.tokens += p.Tokens
	l.bytes += len(p.Text)
	return nil
}

// Len returns the number of pieces.
func (l *Log) Len() int {
	return len(l.pieces)
}

// Tokens returns the number of tokens in all pieces.
func (l *Log) Tokens() int {
	return l.tokens
}

// Bytes returns the size of the text in bytes.
func (l *Log) Bytes() int {
	return l.bytes
}

// From returns the pieces from an index on. The result must not be changed.
func (l *Log) From(index int) []request.Piece {
	if index >= len(l.pieces) {
		return nil
	}
	return l.pieces[max(index, 0):]
}

// Text returns the whole text so far.
func (l *Log) Text() string {
	var b strings.Builder
	b.Grow(l.bytes)
	for _, p := range l.pieces {
		b.WriteString(p.Text)
	}
	return b.String()
}

// Digest returns the SHA-256 of the text so far, as "sha256:" and hexadecimal
// digits.
func (l *Log) Digest() string {
	if l.digest == nil {
		l.digest = sha256.New()
	}
	return "sha256:" + hex.EncodeToString(l.digest.Sum(nil))
}
