package table

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// behavior answers the calls of a Table. It implements host.Behavior.
type behavior struct {
	table *Table
}

// Serve implements host.Behavior.
func (b *behavior) Serve(c *host.Call) {
	switch operation(c) {
	case "GetItem":
		b.table.get(c)
	case "Query":
		b.table.query(c)
	case "TransactWriteItems":
		b.table.write(c)
	default:
		reply(c, http.StatusBadRequest, failure{Type: typeUnknown, Message: "unknown operation"})
	}
}

// Refuse implements host.Behavior.
func (b *behavior) Refuse(c *host.Call, reason host.Refusal) {
	switch reason {
	case host.Throttled:
		throttle(c)
	case host.Failing:
		reply(c, http.StatusInternalServerError, failure{Type: typeInternal, Message: "internal server error"})
	default:
		reply(c, http.StatusServiceUnavailable, failure{Type: typeUnavailable, Message: "service unavailable"})
	}
}

// Gone implements host.Behavior.
func (*behavior) Gone(*host.Call) {}
