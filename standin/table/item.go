package table

import "strconv"

// item is a row as it is kept.
type item struct {
	key     key
	version uint64
	value   []byte
}

// attributes returns the item in the form of the protocol.
func (i *item) attributes() map[string]attribute {
	version := strconv.FormatUint(i.version, 10)
	value := i.value
	if value == nil {
		value = []byte{}
	}
	return map[string]attribute{
		"pk":    text(i.key.partition),
		"sk":    text(i.key.sort),
		"v":     {N: &version},
		"value": {B: value},
	}
}

// itemOf reads an item in the form of the protocol.
func itemOf(attributes map[string]attribute) (*item, error) {
	key, err := keyOf(attributes)
	if err != nil {
		return nil, err
	}
	number := attributes["v"].N
	if number == nil {
		return nil, &validationError{message: "attribute v must be a number"}
	}
	version, err := strconv.ParseUint(*number, 10, 64)
	if err != nil {
		return nil, &validationError{message: "attribute v is not a whole number"}
	}
	return &item{key: key, version: version, value: attributes["value"].B}, nil
}
