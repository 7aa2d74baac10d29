package plan

// settingKey identifies one value of a document.
type settingKey struct {
	subject Subject
	name    string
}

func (k settingKey) less(other settingKey) bool {
	if k.subject != other.subject {
		return k.subject < other.subject
	}
	return k.name < other.name
}
