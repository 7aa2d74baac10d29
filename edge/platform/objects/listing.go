package objects

import (
	"encoding/xml"
	"net/http"
	"net/url"
	"strconv"

	"github.com/sycamorecourse/sycamorecourse/edge/platform"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

// listing reads the pages of one list.
type listing struct {
	client *Client
	prefix string
	token  string
	infos  []Info
	done   func([]Info, error)
}

// next requests the next page, and calls done after the last page or an error.
func (l *listing) next() {
	query := url.Values{
		"list-type": {"2"},
		"prefix":    {l.prefix},
		"max-keys":  {strconv.Itoa(l.client.config.PageKeys)},
	}
	if l.token != "" {
		query.Set("continuation-token", l.token)
	}
	path := "/" + l.client.config.Bucket + "?" + query.Encode()
	l.client.call(http.MethodGet, path, nil, nil, func(response collect.Response, err error) {
		last, err := l.page(response, err)
		switch {
		case err != nil:
			l.done(nil, err)
		case last:
			l.done(l.infos, nil)
		default:
			l.next()
		}
	})
}

// page adds one page to the result and reports whether it was the last.
func (l *listing) page(response collect.Response, err error) (bool, error) {
	if err := readError(l.prefix, response, err); err != nil {
		return false, err
	}
	var result listResult
	if err := xml.Unmarshal(response.Body, &result); err != nil {
		return false, platform.ClassifyReadError(service, &collect.MalformedError{Err: err})
	}
	l.infos = append(l.infos, result.Contents...)
	l.token = result.NextContinuationToken
	return !result.IsTruncated || l.token == "", nil
}
