package objects

import (
	"net/http"
	"net/url"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

// Client calls the object store. Any thread may use it.
type Client struct {
	config Config
	http   *httpc.Client
}

// New makes a client that sends over http.
func New(config Config, http *httpc.Client) *Client {
	return &Client{config: config.withDefaults(), http: http}
}

// Get gives an object. It fails with a *platform.NotFoundError or a
// *platform.UnavailableError.
func (c *Client) Get(key string, done func(Object, error)) {
	c.call(http.MethodGet, c.path(key), nil, nil, func(answer collect.Answer, err error) {
		if err := readError(key, answer, err); err != nil {
			done(Object{}, err)
			return
		}
		done(Object{Key: key, ETag: answer.Header.Get("Etag"), Body: answer.Body}, nil)
	})
}

// Put writes an object and gives its ETag. It fails with a *ConditionError or
// a *platform.UnavailableError when it surely wrote nothing, else with a
// *platform.UnknownError.
func (c *Client) Put(key string, body []byte, condition Condition, done func(string, error)) {
	c.call(http.MethodPut, c.path(key), condition.header(), body, func(answer collect.Answer, err error) {
		if err := writeError(key, answer, err); err != nil {
			done("", err)
			return
		}
		done(answer.Header.Get("Etag"), nil)
	})
}

// Delete removes an object; one that does not exist is no failure. It fails as
// Put does.
func (c *Client) Delete(key string, done func(error)) {
	c.call(http.MethodDelete, c.path(key), nil, nil, func(answer collect.Answer, err error) {
		done(writeError(key, answer, err))
	})
}

// List gives the objects whose keys begin with prefix, in the order of their
// keys. It fails with a *platform.UnavailableError.
func (c *Client) List(prefix string, done func([]Info, error)) {
	l := &listing{client: c, prefix: prefix, done: done}
	l.next()
}

func (c *Client) path(key string) string {
	target := url.URL{Path: "/" + c.config.Bucket + "/" + key}
	return target.EscapedPath()
}

// call sends one request. A call that can't be started is a
// *httpc.NotSentError.
func (c *Client) call(method, path string, header http.Header, body []byte, done func(collect.Answer, error)) {
	collect.Start(c.http, &httpc.Call{
		Address: c.config.Address,
		Method:  method,
		Path:    path,
		Header:  header,
		Body:    body,
		Timeout: c.config.Timeout,
	}, c.config.MaxAnswerBytes, done)
}
