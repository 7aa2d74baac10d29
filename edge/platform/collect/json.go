package collect

import (
	"encoding/json"
)

// failure is the usual JSON body of an error.
type failure struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

// JSONError gives the failure that an answer with a JSON body reports.
func JSONError(answer Answer) *StatusError {
	var f failure
	if err := json.Unmarshal(answer.Body, &f); err != nil {
		f = failure{}
	}
	return &StatusError{Status: answer.Status, Code: f.Error.Type, Message: f.Error.Message}
}

// DecodeJSON decodes the body of an answer into v. It fails with a
// *StatusError when the status says no, or with a *MalformedError.
func DecodeJSON(answer Answer, v any) error {
	if answer.Status/100 != 2 {
		return JSONError(answer)
	}
	if err := json.Unmarshal(answer.Body, v); err != nil {
		return &MalformedError{Err: err}
	}
	return nil
}
