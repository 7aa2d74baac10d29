package engine

// Tokens is a sequence of consecutive tokens of an answer. The zero value is
// empty.
type Tokens struct {
	// First is the index of the first token in the answer.
	First int
	// Count is the number of tokens.
	Count int
	// Text is the text of the tokens.
	Text string
}

// add appends a token. It returns false if index is not the next one; the first
// token may have any index.
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
