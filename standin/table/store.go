package table

import (
	"slices"
	"strings"
)

// store holds the items of the table, each partition in the order of its sort
// keys.
type store struct {
	partitions map[string][]*item
}

func newStore() *store {
	return &store{partitions: make(map[string][]*item)}
}

// get returns an item, nil if there is none.
func (s *store) get(k key) *item {
	list := s.partitions[k.partition]
	if at, ok := find(list, k.sort); ok {
		return list[at]
	}
	return nil
}

// list returns up to limit items of a partition whose sort keys have the
// prefix and come after a given one, and whether there are more.
func (s *store) list(partition, prefix, after string, limit int) ([]*item, bool) {
	list := s.partitions[partition]
	start, _ := find(list, prefix)
	if after != "" {
		at, found := find(list, after)
		if found {
			at++
		}
		start = max(start, at)
	}
	end := start
	for end < len(list) && strings.HasPrefix(list[end].key.sort, prefix) {
		if end-start == limit {
			return list[start:end], true
		}
		end++
	}
	return list[start:end], false
}

// apply makes all changes, or none and a *canceledError.
func (s *store) apply(changes []change) error {
	if reasons, ok := s.check(changes); !ok {
		return &canceledError{reasons: reasons}
	}
	for _, c := range changes {
		switch {
		case c.put != nil:
			s.put(c.put)
		case c.remove:
			s.remove(c.key)
		}
	}
	return nil
}

func (s *store) check(changes []change) ([]reason, bool) {
	reasons := make([]reason, len(changes))
	ok := true
	for i, c := range changes {
		reasons[i].Code = codeNone
		if s.version(c.key) != c.expect {
			reasons[i] = reason{Code: codeFailed, Message: "The conditional request failed"}
			ok = false
		}
	}
	return reasons, ok
}

func (s *store) version(k key) uint64 {
	if i := s.get(k); i != nil {
		return i.version
	}
	return 0
}

func (s *store) put(i *item) {
	list := s.partitions[i.key.partition]
	at, found := find(list, i.key.sort)
	if found {
		list[at] = i
		return
	}
	s.partitions[i.key.partition] = slices.Insert(list, at, i)
}

func (s *store) remove(k key) {
	list := s.partitions[k.partition]
	if at, found := find(list, k.sort); found {
		s.partitions[k.partition] = slices.Delete(list, at, at+1)
	}
}

func find(list []*item, sort string) (int, bool) {
	return slices.BinarySearchFunc(list, sort, func(i *item, sort string) int {
		return strings.Compare(i.key.sort, sort)
	})
}
