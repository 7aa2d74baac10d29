package host

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

// Call is one request to a stand-in and the means to answer it, under the
// fault switches. Only the duty of the host uses it.
type Call struct {
	// Method is the HTTP method.
	Method string
	// Path is the decoded path.
	Path string
	// Query holds the parameters of the URL.
	Query url.Values
	// Header holds the fields of the request.
	Header http.Header
	// Body is the whole body.
	Body []byte

	host       *Host
	exchange   *httpd.Exchange
	exempt     bool
	loseAnswer bool
	ended      bool
}

// Reply sends a whole answer and ends the call.
func (c *Call) Reply(status int, header http.Header, body []byte) {
	c.act(func() {
		c.end()
		_ = c.exchange.Reply(status, c.host.withCommon(header), body)
	})
}

// ReplyJSON sends v as a whole answer and ends the call.
func (c *Call) ReplyJSON(status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.Reply(http.StatusInternalServerError, nil, nil)
		return
	}
	c.Reply(status, http.Header{"Content-Type": {"application/json"}}, body)
}

// Fail sends an error as a whole answer and ends the call.
func (c *Call) Fail(status int, kind FailureType, message string) {
	c.ReplyJSON(status, Failure{Error: FailureDetail{Type: kind, Message: message}})
}

// FailRefused answers a call that is not served. The status and type of a
// throttled call are given; an outage has its own.
func (c *Call) FailRefused(reason Refusal, throttled int, kind FailureType) {
	switch reason {
	case Throttled:
		c.Fail(throttled, kind, "too many calls")
	case Failing:
		c.Fail(http.StatusInternalServerError, FailureInternal, "internal error")
	default:
		c.Fail(http.StatusServiceUnavailable, FailureUnavailable, "out of service")
	}
}

// Decode decodes the JSON body into v. When it can't, it answers 400 and
// returns false.
func (c *Call) Decode(v any) bool {
	if err := json.Unmarshal(c.Body, v); err != nil {
		c.Fail(http.StatusBadRequest, FailureInvalid, err.Error())
		return false
	}
	return true
}

// QueryNumber returns a parameter of the URL that is a number, 0 when it is
// absent. When it is no number, it answers 400 and returns false.
func (c *Call) QueryNumber(name string) (uint64, bool) {
	text := c.Query.Get(name)
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		c.Fail(http.StatusBadRequest, FailureInvalid, name+" must be a number")
		return 0, false
	}
	return n, true
}

// StartStream sends the head of an answer whose body follows in pieces.
func (c *Call) StartStream(status int, header http.Header) {
	c.act(func() { c.check(c.exchange.StartStream(status, c.host.withCommon(header))) })
}

// WriteStream sends one piece of the body.
func (c *Call) WriteStream(piece []byte) {
	c.act(func() { c.check(c.exchange.WriteStream(piece)) })
}

// EndStream ends the body and the call.
func (c *Call) EndStream() {
	c.act(func() {
		c.end()
		_ = c.exchange.EndStream()
	})
}

// Abort cuts the connection.
func (c *Call) Abort() {
	if c.ended {
		return
	}
	c.end()
	c.exchange.Abort()
}

// act does one step of the answer, unless the call has ended, or later while
// answers are frozen.
func (c *Call) act(step func()) {
	if !c.exempt && c.host.switches.hold(func() { c.act(step) }) {
		return
	}
	if c.ended {
		return
	}
	if c.loseAnswer {
		c.Abort()
		c.tellGone()
		return
	}
	step()
}

// check tells the behavior when a piece can't be sent.
func (c *Call) check(err error) {
	if err == nil {
		return
	}
	c.end()
	c.tellGone()
}

// tellGone calls the behavior once the present event has been handled.
func (c *Call) tellGone() {
	c.host.After(0, func() { c.host.behavior.Gone(c) })
}

func (c *Call) end() {
	c.ended = true
	delete(c.host.calls, c.exchange)
}
