package table

import "strconv"

// attribute is a DynamoDB attribute value: a string, a number or bytes.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitzero"`
}

func stringAttribute(s string) attribute {
	return attribute{S: &s}
}

func numberAttribute(n uint64) attribute {
	s := strconv.FormatUint(n, 10)
	return attribute{N: &s}
}

func bytesAttribute(b []byte) attribute {
	if b == nil {
		b = []byte{}
	}
	return attribute{B: b}
}
