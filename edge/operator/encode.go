package operator

import (
	"encoding/json"
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

// ReplyJSON sends body as a JSON document.
func ReplyJSON(x *httpd.Exchange, status int, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return ReplyError(x, &Problem{Status: http.StatusInternalServerError, Code: Internal, Detail: err.Error()})
	}
	return x.Reply(status, jsonHeader(), append(text, '\n'))
}

// ReplyError sends an error as a Problem, with the status of ProblemOf.
func ReplyError(x *httpd.Exchange, err error) error {
	p := ProblemOf(err)
	// A Problem holds only text and lists of text, which can always be encoded.
	text, _ := json.Marshal(p)
	return x.Reply(p.Status, jsonHeader(), append(text, '\n'))
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}
