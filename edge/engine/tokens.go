package engine

// Tokens is a run of tokens of an answer. The zero value holds none.
type Tokens struct {
	// First is the index of the first token in the answer.
	First int
	// Count is the number of tokens.
	Count int
	// Text is their text.
	Text string
}

// add appends the next token. It returns false when the token does not follow.
func (t *Tokens) add(index int, text string) bool {
	if t.Count == 0 {
		t.First = index
	} else if index != t.First+t.Count {
		return false
	}
	t.Count++
	t.Text += text
	return true
}
