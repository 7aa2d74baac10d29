package operator

import (
	"encoding/json"
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

// Answer sends an answer of the API.
func Answer(x *httpd.Exchange, status int, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return Fail(x, &Problem{Status: http.StatusInternalServerError, Code: Internal, Detail: err.Error()})
	}
	return x.Reply(status, jsonHeader(), append(text, '\n'))
}

// Fail sends a failure.
func Fail(x *httpd.Exchange, err error) error {
	p := ProblemOf(err)
	// A Problem holds only text and lists of text, which always encode.
	text, _ := json.Marshal(p)
	return x.Reply(p.Status, jsonHeader(), append(text, '\n'))
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}
