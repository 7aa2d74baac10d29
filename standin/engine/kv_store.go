package engine

import "strconv"

// kvStore holds the imported KV caches that no request has used yet.
type kvStore struct {
	made  int
	byKey map[string]*kvCache
}

func newKVStore() *kvStore {
	return &kvStore{byKey: make(map[string]*kvCache)}
}

func (s *kvStore) add(k *kvCache) string {
	s.made++
	handle := "kv-" + strconv.Itoa(s.made)
	s.byKey[handle] = k
	return handle
}

// take removes the KV cache that fits a request and returns the number of its
// tokens.
func (s *kvStore) take(request Request) (int, bool) {
	k := s.byKey[request.KVHandle]
	if k == nil || k.Seed != answerSeed(request.Model, request.Adapter, request.Prompt) {
		return 0, false
	}
	delete(s.byKey, request.KVHandle)
	return k.Tokens, true
}

func (s *kvStore) remove(handle string) {
	delete(s.byKey, handle)
}
