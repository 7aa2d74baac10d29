package table

// change is an action of a transaction after its checks. Put is nil for a
// delete and for a condition check.
type change struct {
	key    key
	expect uint64
	put    *item
	remove bool
}

func changeOf(t transactItem) (change, error) {
	switch {
	case t.Put != nil:
		return putOf(t.Put)
	case t.Delete != nil:
		c, err := keyedOf(t.Delete)
		c.remove = true
		return c, err
	case t.ConditionCheck != nil:
		return keyedOf(t.ConditionCheck)
	default:
		return change{}, &validationError{message: "a transaction item needs Put, Delete or ConditionCheck"}
	}
}

func putOf(a *action) (change, error) {
	put, err := itemOf(a.Item)
	if err != nil {
		return change{}, err
	}
	expect, err := a.expect()
	return change{key: put.key, expect: expect, put: put}, err
}

func keyedOf(a *action) (change, error) {
	k, err := keyOf(a.Key)
	if err != nil {
		return change{}, err
	}
	expect, err := a.expect()
	return change{key: k, expect: expect}, err
}
