package engine

import "strconv"

// kvStore holds the imported KV caches that no request has used yet.
type kvStore struct {
	created  int
	byHandle map[string]*kvCache
}

func newKVStore() *kvStore {
	return &kvStore{byHandle: make(map[string]*kvCache)}
}

func (s *kvStore) add(k *kvCache) string {
	s.created++
	handle := "kv-" + strconv.Itoa(s.created)
	s.byHandle[handle] = k
	return handle
}

// take removes the KV cache of a request and returns its number of tokens. It
// returns false when the handle is unknown or its prompt differs.
func (s *kvStore) take(request Request) (int, bool) {
	k := s.byHandle[request.KVHandle]
	if k == nil || k.Seed != completionSeed(request.Model, request.Adapter, request.Prompt) {
		return 0, false
	}
	delete(s.byHandle, request.KVHandle)
	return k.Tokens, true
}

func (s *kvStore) remove(handle string) {
	delete(s.byHandle, handle)
}
