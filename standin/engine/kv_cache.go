package engine

import (
	"bytes"
	"encoding/json"
)

// kvMagic begins an exported KV cache.
var kvMagic = []byte("SKV1")

// kvCache is the KV cache of a request as it is exported.
type kvCache struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	// Seed identifies the prompt.
	Seed uint64 `json:"seed"`
	// Tokens is the number of tokens of the prompt and the answer.
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
