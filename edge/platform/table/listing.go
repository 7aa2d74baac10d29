package table

import (
	"encoding/json"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

// listing gathers the pages of one list.
type listing struct {
	client  *Client
	request queryRequest
	rows    []row.Row
	done    func([]row.Row, error)
}

func (l *listing) next() {
	l.client.call("Query", l.request, func(answer collect.Answer, err error) {
		last, err := l.page(answer, err)
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

// page takes one page and reports whether it was the last.
func (l *listing) page(answer collect.Answer, err error) (bool, error) {
	if err := readError(answer, err); err != nil {
		return false, err
	}
	var response queryResponse
	if err := json.Unmarshal(answer.Body, &response); err != nil {
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
