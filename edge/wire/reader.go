package wire

import (
	"bytes"
	"encoding/binary"
	"io"
)

// Reader reads messages from a stream.
type Reader struct {
	stream    io.Reader
	body      bytes.Buffer
	bytesRead uint64
}

// maxRetainedBytes is the largest buffer that a Reader reuses for the next
// message; a larger one is released.
const maxRetainedBytes = 64 << 10

// NewReader returns a Reader that reads from stream.
func NewReader(stream io.Reader) *Reader {
	return &Reader{stream: stream}
}

// BytesRead returns the total length of the messages read, with their headers.
// Skipped messages count.
func (r *Reader) BytesRead() uint64 {
	return r.bytesRead
}

// Next returns the next message of a known kind. It fails with the read error of
// the stream, or with a *DecodeError, after which no further message can be read.
func (r *Reader) Next() (Message, error) {
	for {
		m, err := r.next()
		if m != nil || err != nil {
			return m, err
		}
	}
}

// next reads one message. It returns nil and no error if the kind is unknown.
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
	r.bytesRead += headerBytes + uint64(size)
	m := newMessage(kind)
	if m == nil {
		_, err := io.CopyN(io.Discard, r.stream, int64(size))
		return nil, err
	}
	if r.body.Cap() > maxRetainedBytes {
		r.body = bytes.Buffer{}
	}
	r.body.Reset()
	// CopyN grows the buffer as bytes arrive, so that a peer can't make this
	// process allocate memory by announcing a large body.
	if _, err := io.CopyN(&r.body, r.stream, int64(size)); err != nil {
		return nil, err
	}
	if err := decMode.Unmarshal(r.body.Bytes(), m); err != nil {
		return nil, &DecodeError{Kind: kind, Err: err}
	}
	return m, nil
}
