package objects

import (
	"encoding/xml"
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// The codes of errors.
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

// failure is the body of an error.
type failure struct {
	XMLName xml.Name `xml:"Error"`
	Code    string   `xml:"Code"`
	Message string   `xml:"Message"`
}

func fail(c *host.Call, status int, code string) {
	replyXML(c, status, failure{Code: code, Message: http.StatusText(status)})
}

func replyXML(c *host.Call, status int, v any) {
	body, err := xml.Marshal(v)
	if err != nil {
		c.Reply(http.StatusInternalServerError, nil, nil)
		return
	}
	c.Reply(status, http.Header{"Content-Type": {"application/xml"}}, append([]byte(xml.Header), body...))
}
