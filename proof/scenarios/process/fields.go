package process

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Fields are the named values with which a program says that it is ready.
type Fields map[string]string

// parseLine reads a line of key=value pairs. Quoted values are unquoted.
func parseLine(line string) Fields {
	fields := make(Fields)
	for line != "" {
		key, rest, found := strings.Cut(line, "=")
		if !found {
			break
		}
		value, after := cutValue(rest)
		fields[strings.TrimSpace(key)] = value
		line = after
	}
	return fields
}

func cutValue(text string) (string, string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		// A quoted prefix can be unquoted.
		value, _ := strconv.Unquote(quoted)
		return value, strings.TrimPrefix(text[len(quoted):], " ")
	}
	value, rest, _ := strings.Cut(text, " ")
	return value, rest
}

// parseDocument flattens a JSON document: names are joined by underscores, and
// a list of texts is also one value, parted by commas.
func parseDocument(line string) (Fields, bool) {
	var document map[string]any
	if json.Unmarshal([]byte(line), &document) != nil {
		return nil, false
	}
	fields := make(Fields)
	for name, value := range document {
		fields.add(name, value)
	}
	return fields, true
}

func (f Fields) add(name string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, v := range value {
			f.add(name+"_"+key, v)
		}
	case []any:
		f.addList(name, value)
	default:
		f[name] = fmt.Sprint(value)
	}
}

func (f Fields) addList(name string, list []any) {
	var texts []string
	for i, v := range list {
		f.add(name+"_"+strconv.Itoa(i), v)
		if text, ok := v.(string); ok {
			texts = append(texts, text)
		}
	}
	if len(texts) == len(list) {
		f[name] = strings.Join(texts, ",")
	}
}
