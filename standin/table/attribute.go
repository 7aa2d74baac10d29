package table

// attribute is an attribute value of the protocol: a string, a number or
// bytes.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitzero"`
}

func text(s string) attribute { return attribute{S: &s} }

func (a attribute) text() string {
	if a.S == nil {
		return ""
	}
	return *a.S
}
