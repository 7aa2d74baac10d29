package objects

import (
	"encoding/xml"
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// S3 error codes.
const (
	codeInternal     = "InternalError"
	codeMethod       = "MethodNotAllowed"
	codeNoBucket     = "NoSuchBucket"
	codeNoKey        = "NoSuchKey"
	codePrecondition = "PreconditionFailed"
	codeSlowDown     = "SlowDown"
	codeUnavailable  = "ServiceUnavailable"
	codeInvalid      = "InvalidArgument"
)

// errorResponse is the body of an error response.
type errorResponse struct {
	XMLName xml.Name `xml:"Error"`
	Code    string   `xml:"Code"`
	Message string   `xml:"Message"`
}

func fail(c *host.Call, status int, code string) {
	replyXML(c, status, errorResponse{Code: code, Message: http.StatusText(status)})
}

func replyXML(c *host.Call, status int, v any) {
	body, err := xml.Marshal(v)
	if err != nil {
		c.Reply(http.StatusInternalServerError, nil, nil)
		return
	}
	c.Reply(status, http.Header{"Content-Type": {"application/xml"}}, append([]byte(xml.Header), body...))
}
