package table

import (
	"encoding/json"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

// listing reads the pages of one list.
type listing struct {
	client  *Client
	request queryRequest
	rows    []row.Row
	done    func([]row.Row, error)
}

// next requests the next page, and calls done after the last page or an error.
func (l *listing) next() {
	l.client.call("Query", l.request, func(httpResponse collect.Response, err error) {
		last, err := l.page(httpResponse, err)
		switch {
		case err != nil:
			l.done(nil, &row.UnavailableError{Err: err})
		case last:
			l.done(l.rows, nil)
		default:
			l.next()
		}
	})
}

// page adds one page to the result and reports whether it was the last.
func (l *listing) page(httpResponse collect.Response, err error) (bool, error) {
	if err := readError(httpResponse, err); err != nil {
		return false, err
	}
	var response queryResponse
	if err := json.Unmarshal(httpResponse.Body, &response); err != nil {
		return false, &collect.MalformedError{Err: err}
	}
	for _, i := range response.Items {
		r, err := i.row()
		if err != nil {
			return false, err
		}
		l.rows = append(l.rows, r)
	}
	l.request.ExclusiveStartKey = response.LastEvaluatedKey
	return len(response.LastEvaluatedKey) == 0, nil
}
