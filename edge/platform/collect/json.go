package collect

import (
	"encoding/json"
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

// DecodeJSONError returns the error in a response with a JSON body. Code and
// Message are empty if the body can't be decoded.
func DecodeJSONError(response Response) *StatusError {
	var f errorBody
	if err := json.Unmarshal(response.Body, &f); err != nil {
		f = errorBody{}
	}
	return &StatusError{Status: response.Status, Code: f.Error.Type, Message: f.Error.Message}
}

// DecodeJSON decodes the body of a response into v. It fails with a *StatusError
// if the status is not 2xx, or with a *MalformedError.
func DecodeJSON(response Response, v any) error {
	if response.Status/100 != 2 {
		return DecodeJSONError(response)
	}
	if err := json.Unmarshal(response.Body, v); err != nil {
		return &MalformedError{Err: err}
	}
	return nil
}
