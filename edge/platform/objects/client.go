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

// New returns a Client that sends its requests with http.
func New(config Config, http *httpc.Client) *Client {
	return &Client{config: config.withDefaults(), http: http}
}

// Get reads an object. It fails with a *platform.NotFoundError or a
// *platform.UnavailableError.
func (c *Client) Get(key string, done func(Object, error)) {
	c.call(http.MethodGet, c.path(key), nil, nil, func(response collect.Response, err error) {
		if err := readError(key, response, err); err != nil {
			done(Object{}, err)
			return
		}
		done(Object{Key: key, ETag: response.Header.Get("Etag"), Body: response.Body}, nil)
	})
}

// Put writes an object and returns its ETag through done. It fails with a
// *ConditionError or a *platform.UnavailableError if nothing was written, and
// with a *platform.OutcomeUnknownError if that is not certain.
func (c *Client) Put(key string, body []byte, condition Condition, done func(string, error)) {
	c.call(http.MethodPut, c.path(key), condition.header(), body, func(response collect.Response, err error) {
		if err := writeError(key, response, err); err != nil {
			done("", err)
			return
		}
		done(response.Header.Get("Etag"), nil)
	})
}

// Delete deletes an object. It succeeds if the object does not exist, and fails
// with the same errors as Put.
func (c *Client) Delete(key string, done func(error)) {
	c.call(http.MethodDelete, c.path(key), nil, nil, func(response collect.Response, err error) {
		done(writeError(key, response, err))
	})
}

// List lists the objects whose keys begin with prefix, in the order of their
// keys. It fails with a *platform.UnavailableError.
func (c *Client) List(prefix string, done func([]Info, error)) {
	l := &listing{client: c, prefix: prefix, done: done}
	l.next()
}

func (c *Client) path(key string) string {
	target := url.URL{Path: "/" + c.config.Bucket + "/" + key}
	return target.EscapedPath()
}

// call sends one request. If it can't be started, done gets a
// *httpc.NotSentError.
func (c *Client) call(method, path string, header http.Header, body []byte, done func(collect.Response, error)) {
	collect.Start(c.http, &httpc.Call{
		Address: c.config.Address,
		Method:  method,
		Path:    path,
		Header:  header,
		Body:    body,
		Timeout: c.config.Timeout,
	}, c.config.MaxResponseBytes, done)
}
