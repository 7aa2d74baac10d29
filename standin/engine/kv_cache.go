package engine

import (
	"bytes"
	"encoding/json"
)

// kvMagic is the prefix of an exported KV cache.
var kvMagic = []byte("SKV1")

// kvCache is the exported KV cache of a request, encoded as kvMagic and JSON.
type kvCache struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	// Seed is the completionSeed of the prompt.
	Seed uint64 `json:"seed"`
	// Tokens is the number of tokens of the prompt and the completion so far.
	Tokens int `json:"tokens"`
}

func (k *kvCache) encode() ([]byte, error) {
	raw, err := json.Marshal(k)
	return append(bytes.Clone(kvMagic), raw...), err
}

func decodeKVCache(blob []byte) (*kvCache, error) {
	raw, ok := bytes.CutPrefix(blob, kvMagic)
	if !ok {
		return nil, &MalformedKVError{}
	}
	var k kvCache
	if err := json.Unmarshal(raw, &k); err != nil {
		return nil, &MalformedKVError{Err: err}
	}
	return &k, nil
}
