package wire

import (
	"bytes"
	"encoding/binary"
	"io"
)

// Reader reads messages from a stream.
type Reader struct {
	stream io.Reader
	body   bytes.Buffer
	read   uint64
}

// keepBytes is the largest buffer that a Reader keeps between two messages.
const keepBytes = 64 << 10

// NewReader reads from a stream.
func NewReader(stream io.Reader) *Reader {
	return &Reader{stream: stream}
}

// BytesRead returns the number of bytes of all messages read.
func (r *Reader) BytesRead() uint64 {
	return r.read
}

// Next returns the next message of a known kind. It fails with the error of
// the stream, or with a *DecodeError after which the stream is of no use.
func (r *Reader) Next() (Message, error) {
	for {
		m, err := r.next()
		if m != nil || err != nil {
			return m, err
		}
	}
}

// next returns nil without an error after a message of an unknown kind.
func (r *Reader) next() (Message, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.stream, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	kind := Kind(binary.BigEndian.Uint16(header[4:]))
	if size > MaxMessageBytes {
		return nil, &DecodeError{Kind: kind, Err: &SizeError{Bytes: uint64(size)}}
	}
	r.read += headerBytes + uint64(size)
	m := newMessage(kind)
	if m == nil {
		_, err := io.CopyN(io.Discard, r.stream, int64(size))
		return nil, err
	}
	if r.body.Cap() > keepBytes {
		r.body = bytes.Buffer{}
	}
	r.body.Reset()
	// The buffer grows with what arrives rather than by what is announced.
	if _, err := io.CopyN(&r.body, r.stream, int64(size)); err != nil {
		return nil, err
	}
	if err := decoder.Unmarshal(r.body.Bytes(), m); err != nil {
		return nil, &DecodeError{Kind: kind, Err: err}
	}
	return m, nil
}
