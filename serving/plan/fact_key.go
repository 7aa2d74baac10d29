package plan

// factKey names one value of a document.
type factKey struct {
	subject Subject
	name    string
}

func (k factKey) less(other factKey) bool {
	if k.subject != other.subject {
		return k.subject < other.subject
	}
	return k.name < other.name
}
