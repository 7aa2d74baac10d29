package cluster

import "github.com/fxamacker/cbor/v2"

// Encode returns the value of the card's row.
func (c Card) Encode() ([]byte, error) {
	return cbor.Marshal(c)
}

// Decode reads the value of a card's row. It fails with a *CardError.
func Decode(key string, value []byte) (Card, error) {
	var c Card
	if err := cbor.Unmarshal(value, &c); err != nil {
		return Card{}, &CardError{Key: key, Err: err}
	}
	if c.Instance != key {
		return Card{}, &CardError{Key: key, Err: &NameError{Name: c.Instance}}
	}
	return c, nil
}
