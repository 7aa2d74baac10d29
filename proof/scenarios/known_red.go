package scenarios

import (
	"os"
	"strings"
)

// knownRed returns the scripts that a file lists as failing for a real fault.
// An entry begins with scenarios/NAME followed by a colon.
func knownRed(file string) (map[string]string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	red := make(map[string]string)
	for line := range strings.SplitSeq(string(text), "\n") {
		name, entry, found := strings.Cut(strings.TrimPrefix(line, "scenarios/"), ":")
		if found && strings.HasPrefix(line, "scenarios/") {
			red[name] = strings.TrimSpace(entry)
		}
	}
	return red, nil
}
