package wire

import "encoding/binary"

// Encode returns the header and the body of a message. It fails with an
// *EncodeError.
func Encode(m Message) ([]byte, error) {
	kind := kindOf(m)
	if kind == 0 {
		return nil, &EncodeError{Message: m}
	}
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, &EncodeError{Message: m, Kind: kind, Err: err}
	}
	if len(body) > MaxMessageBytes {
		return nil, &EncodeError{Message: m, Kind: kind, Err: &SizeError{Bytes: uint64(len(body))}}
	}
	out := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	binary.BigEndian.PutUint16(out[4:], uint16(kind))
	return append(out, body...), nil
}
