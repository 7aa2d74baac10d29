package answer

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// Log holds the pieces of an answer so far, in order and without gaps. It is
// append-only and must be used by one thread. The zero value is an empty answer.
type Log struct {
	pieces []request.Piece
	tokens int
	bytes  int
	digest hash.Hash
}

// Append adds the next piece. It returns a *GapError and adds nothing if the index
// of the piece is not Len.
func (l *Log) Append(p request.Piece) error {
	if p.Index != len(l.pieces) {
		return &GapError{Want: len(l.pieces), Got: p.Index}
	}
	if l.digest == nil {
		l.digest = sha256.New()
	}
	// Write on a hash.Hash never returns an error.
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

// Tokens returns the total number of tokens.
func (l *Log) Tokens() int {
	return l.tokens
}

// Bytes returns the length of the text in bytes.
func (l *Log) Bytes() int {
	return l.bytes
}

// From returns the pieces with the given index or a higher one. The caller must
// not modify the result.
func (l *Log) From(index int) []request.Piece {
	if index >= len(l.pieces) {
		return nil
	}
	return l.pieces[max(index, 0):]
}

// Text returns the text so far.
func (l *Log) Text() string {
	var b strings.Builder
	b.Grow(l.bytes)
	for _, p := range l.pieces {
		b.WriteString(p.Text)
	}
	return b.String()
}

// Digest returns the SHA-256 of the text so far as "sha256:" and lowercase
// hexadecimal digits.
func (l *Log) Digest() string {
	if l.digest == nil {
		l.digest = sha256.New()
	}
	return "sha256:" + hex.EncodeToString(l.digest.Sum(nil))
}
