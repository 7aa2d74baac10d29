package table

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// contentType is that of the protocol.
const contentType = "application/x-amz-json-1.0"

// targetPrefix begins the value of the header X-Amz-Target.
const targetPrefix = "DynamoDB_20120810."

// Table is a table service.
type Table struct {
	*host.Host
	config Config
	store  *store
	reads  *host.Bucket
	writes *host.Bucket
}

// New makes a table service; Open starts it.
func New(config Config) *Table {
	h := host.New(host.Config{Name: "table", Address: config.Address})
	return &Table{
		Host:   h,
		config: config.withDefaults(),
		store:  newStore(),
		reads:  host.NewBucket(config.ReadsPerSecond, h.Now()),
		writes: host.NewBucket(config.WritesPerSecond, h.Now()),
	}
}

// Open listens. Run is the duty.
func (t *Table) Open() error { return t.Host.Open(&behavior{table: t}) }

func (t *Table) get(c *host.Call) {
	var request getRequest
	if !decode(c, &request) {
		return
	}
	k, err := keyOf(request.Key)
	if err != nil {
		fail(c, err)
		return
	}
	if !t.reads.Take(1, t.Now()) {
		throttle(c)
		return
	}
	var response getResponse
	if found := t.store.get(k); found != nil {
		response.Item = found.attributes()
	}
	reply(c, http.StatusOK, response)
}

func (t *Table) query(c *host.Call) {
	var request queryRequest
	if !decode(c, &request) {
		return
	}
	values := request.ExpressionAttributeValues
	prefix := ""
	switch request.KeyConditionExpression {
	case conditionPartition:
	case conditionPrefix:
		prefix = values[":sk"].text()
	default:
		fail(c, &validationError{message: "unsupported condition: " + request.KeyConditionExpression})
		return
	}
	limit := t.config.PageItems
	if request.Limit > 0 {
		limit = min(limit, request.Limit)
	}
	items, more := t.store.list(values[":pk"].text(), prefix, request.ExclusiveStartKey["sk"].text(), limit)
	if !t.reads.Take(float64(max(len(items), 1)), t.Now()) {
		throttle(c)
		return
	}
	reply(c, http.StatusOK, responseOf(items, more))
}

func responseOf(items []*item, more bool) queryResponse {
	response := queryResponse{Items: make([]map[string]attribute, 0, len(items)), Count: len(items)}
	for _, i := range items {
		response.Items = append(response.Items, i.attributes())
	}
	if more {
		response.LastEvaluatedKey = items[len(items)-1].key.attributes()
	}
	return response
}

func (t *Table) write(c *host.Call) {
	var request writeRequest
	if !decode(c, &request) {
		return
	}
	changes, err := changesOf(request)
	if err != nil {
		fail(c, err)
		return
	}
	if !t.writes.Take(float64(len(changes)), t.Now()) {
		throttle(c)
		return
	}
	if err := t.store.apply(changes); err != nil {
		fail(c, err)
		return
	}
	reply(c, http.StatusOK, struct{}{})
}

func changesOf(request writeRequest) ([]change, error) {
	if n := len(request.TransactItems); n == 0 || n > maxActions {
		return nil, &validationError{message: "a transaction has 1 to 100 actions"}
	}
	seen := make(map[key]bool, len(request.TransactItems))
	changes := make([]change, 0, len(request.TransactItems))
	for _, t := range request.TransactItems {
		next, err := changeOf(t)
		if err != nil {
			return nil, err
		}
		if seen[next.key] {
			return nil, &validationError{message: "Transaction request cannot include multiple operations on one item"}
		}
		seen[next.key] = true
		changes = append(changes, next)
	}
	return changes, nil
}

func decode(c *host.Call, v any) bool {
	if err := json.Unmarshal(c.Body, v); err != nil {
		fail(c, &validationError{message: err.Error()})
		return false
	}
	return true
}

func operation(c *host.Call) string {
	target := c.Header.Get("X-Amz-Target")
	name, ok := strings.CutPrefix(target, targetPrefix)
	if !ok {
		return ""
	}
	return name
}

func reply(c *host.Call, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, nil
	}
	c.Reply(status, http.Header{"Content-Type": {contentType}}, body)
}

func throttle(c *host.Call) {
	reply(c, http.StatusBadRequest, failure{Type: typeThrottled, Message: "The level of configured provisioned throughput was exceeded"})
}

func fail(c *host.Call, err error) {
	var canceled *canceledError
	if errors.As(err, &canceled) {
		reply(c, http.StatusBadRequest, failure{
			Type:                typeCanceled,
			Message:             err.Error(),
			CancellationReasons: canceled.reasons,
		})
		return
	}
	reply(c, http.StatusBadRequest, failure{Type: typeValidation, Message: err.Error()})
}
