package script

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// statePath is where a process shows its state.
const statePath = "/debug/state"

// dumpHas compares a value in a dump. The path is parted by dots; a number is
// a place in a list.
func dumpHas(w *World, args []string) error {
	if len(args) != 3 {
		return &UsageError{Usage: "dump-has ADDRESS PATH VALUE"}
	}
	body, err := w.fetch.Get(args[0], statePath)
	if err != nil {
		return err
	}
	var value any
	if err := json.Unmarshal(body, &value); err != nil {
		return err
	}
	for part := range strings.SplitSeq(args[1], ".") {
		value = member(value, part)
	}
	if found := fmt.Sprint(value); found != args[2] {
		return &MismatchError{What: args[1], Found: found, Expected: args[2]}
	}
	return nil
}

// member returns a part of a JSON value, nil if there is none.
func member(value any, part string) any {
	switch value := value.(type) {
	case map[string]any:
		return value[part]
	case []any:
		if i, err := strconv.Atoi(part); err == nil && i >= 0 && i < len(value) {
			return value[i]
		}
	}
	return nil
}
