package table

// key is the primary key of an item.
type key struct {
	partition string
	sort      string
}

func (k key) attributes() map[string]attribute {
	return map[string]attribute{"pk": text(k.partition), "sk": text(k.sort)}
}

func keyOf(attributes map[string]attribute) (key, error) {
	k := key{partition: attributes["pk"].text(), sort: attributes["sk"].text()}
	if k.partition == "" || k.sort == "" {
		return key{}, &validationError{message: "the key needs the strings pk and sk"}
	}
	return k, nil
}
