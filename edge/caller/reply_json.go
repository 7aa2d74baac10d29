package caller

import (
	"encoding/json"
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

// ReplyJSON sends v as a JSON document.
func ReplyJSON(x *httpd.Exchange, status int, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return &EncodeError{Err: err}
	}
	return x.Reply(status, http.Header{"Content-Type": {"application/json"}}, body)
}
