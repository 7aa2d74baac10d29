package weights

import (
	"net/http"
	"net/url"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/platform"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

// service is the name of the weight store in errors.
const service = "weight store"

// pathPrefix is the first part of the path of a model's weights.
const pathPrefix = "/weights/"

// Client calls the weight store. Any thread may use it.
type Client struct {
	config Config
	http   *httpc.Client
}

// New returns a Client that sends its requests with http.
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
	}, c.config.MaxResponseBytes, func(response collect.Response, err error) {
		done(decode(model, version, response, err))
	})
}

func decode(model, version string, response collect.Response, err error) (Manifest, error) {
	if err != nil {
		return Manifest{}, platform.ClassifyReadError(service, err)
	}
	switch response.Status {
	case http.StatusTooManyRequests:
		return Manifest{}, &ThrottledError{Err: collect.DecodeJSONError(response)}
	case http.StatusNotFound:
		return Manifest{}, &platform.NotFoundError{Service: service, Name: model + " " + version}
	}
	var manifest Manifest
	if err := collect.DecodeJSON(response, &manifest); err != nil {
		return Manifest{}, platform.ClassifyReadError(service, err)
	}
	return manifest, nil
}
