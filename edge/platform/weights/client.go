package weights

import (
	"net/http"
	"net/url"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/platform"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

// service names the weight store in errors.
const service = "weight store"

// pathPrefix begins the path of the weights.
const pathPrefix = "/weights/"

// Client calls the weight store. Any thread may use it.
type Client struct {
	config Config
	http   *httpc.Client
}

// New makes a client that sends over http.
func New(config Config, http *httpc.Client) *Client {
	return &Client{config: config.withDefaults(), http: http}
}

// Fetch reads the weights of a model, at the rate that the store allows. It
// fails with a *ThrottledError, a *platform.NotFoundError or a
// *platform.UnavailableError.
func (c *Client) Fetch(model, version string, done func(Manifest, error)) {
	collect.Start(c.http, &httpc.Call{
		Address: c.config.Address,
		Method:  http.MethodGet,
		Path:    pathPrefix + url.PathEscape(model) + "/" + url.PathEscape(version),
		Timeout: c.config.Timeout,
	}, c.config.MaxAnswerBytes, func(answer collect.Answer, err error) {
		done(decode(model, version, answer, err))
	})
}

func decode(model, version string, answer collect.Answer, err error) (Manifest, error) {
	if err != nil {
		return Manifest{}, platform.ReadError(service, err)
	}
	switch answer.Status {
	case http.StatusTooManyRequests:
		return Manifest{}, &ThrottledError{Err: collect.JSONError(answer)}
	case http.StatusNotFound:
		return Manifest{}, &platform.NotFoundError{Service: service, Name: model + " " + version}
	}
	var manifest Manifest
	if err := collect.DecodeJSON(answer, &manifest); err != nil {
		return Manifest{}, platform.ReadError(service, err)
	}
	return manifest, nil
}
