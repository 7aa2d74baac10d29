package history

import (
	"slices"

	"github.com/anishathalye/porcupine"
)

// requestModel is the sequential specification of requests: a key runs at most
// once over all its submissions, a refused submission never runs, and no run of
// a settled attempt starts.
func requestModel() porcupine.Model {
	return porcupine.Model{
		Partition: partitionByKey,
		Init:      func() any { return requestState{} },
		Step: func(state, input, output any) (bool, any) {
			return state.(requestState).step(input.(requestOp), output.(requestResult))
		},
	}
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := make(map[string][]porcupine.Operation)
	for _, op := range history {
		key := op.Input.(requestOp).key
		byKey[key] = append(byKey[key], op)
	}
	var keys []string
	for key := range byKey {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var parts [][]porcupine.Operation
	for _, key := range keys {
		parts = append(parts, byKey[key])
	}
	return parts
}
