package table

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

// contentType is that of the protocol.
const contentType = "application/x-amz-json-1.0"

// targetPrefix begins the value of the header X-Amz-Target.
const targetPrefix = "DynamoDB_20120810."

// Client calls the table service. Any thread may use it.
type Client struct {
	config Config
	http   *httpc.Client
}

// New makes a client that sends over http.
func New(config Config, http *httpc.Client) *Client {
	return &Client{config: config.withDefaults(), http: http}
}

// Read gives the row as of some moment after the call. A row that does not
// exist has version 0. It fails with a *row.UnavailableError.
func (c *Client) Read(key row.Key, done func(row.Row, error)) {
	request := getRequest{TableName: c.config.Table, Key: keyItem(key), ConsistentRead: true}
	c.call("GetItem", request, func(answer collect.Answer, err error) {
		found, err := decodeRow(key, answer, err)
		if err != nil {
			done(row.Row{}, &row.UnavailableError{Err: err})
			return
		}
		done(found, nil)
	})
}

// List gives the rows of a partition whose sort keys begin with prefix, in the
// order of their sort keys. Rows that change meanwhile may be seen in either
// version. It fails with a *row.UnavailableError.
func (c *Client) List(partition, prefix string, done func([]row.Row, error)) {
	request := queryRequest{
		TableName:                 c.config.Table,
		KeyConditionExpression:    conditionPartition,
		ExpressionAttributeValues: item{":pk": stringAttribute(partition)},
		Limit:                     c.config.PageItems,
		ConsistentRead:            true,
	}
	if prefix != "" {
		request.KeyConditionExpression = conditionPrefix
		request.ExpressionAttributeValues[":sk"] = stringAttribute(prefix)
	}
	l := &listing{client: c, request: request, done: done}
	l.next()
}

// Write makes all changes of a transaction or none. It fails with a
// *row.ConflictError or a *row.UnavailableError when it surely made none, else
// with a *row.UnknownError.
func (c *Client) Write(transaction row.Transaction, done func(error)) {
	request := writeRequestOf(c.config.Table, transaction)
	c.call("TransactWriteItems", request, func(answer collect.Answer, err error) {
		done(writeError(transaction, answer, err))
	})
}

// call sends one operation. A call that can't be started is a
// *httpc.NotSentError.
func (c *Client) call(operation string, request any, done func(collect.Answer, error)) {
	body, err := json.Marshal(request)
	if err != nil {
		done(collect.Answer{}, &httpc.NotSentError{Address: c.config.Address, Err: err})
		return
	}
	collect.Start(c.http, &httpc.Call{
		Address: c.config.Address,
		Method:  http.MethodPost,
		Path:    "/",
		Header: http.Header{
			"Content-Type": {contentType},
			"X-Amz-Target": {targetPrefix + operation},
		},
		Body:    body,
		Timeout: c.config.Timeout,
	}, c.config.MaxAnswerBytes, done)
}

func decodeRow(key row.Key, answer collect.Answer, err error) (row.Row, error) {
	if err := readError(answer, err); err != nil {
		return row.Row{}, err
	}
	var response getResponse
	if err := json.Unmarshal(answer.Body, &response); err != nil {
		return row.Row{}, &collect.MalformedError{Err: err}
	}
	if len(response.Item) == 0 {
		return row.Row{Key: key}, nil
	}
	return response.Item.row()
}

func readError(answer collect.Answer, err error) error {
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return failureOf(answer.Body).err(answer.Status)
	}
	return nil
}

// writeError says what is known of a write.
func writeError(transaction row.Transaction, answer collect.Answer, err error) error {
	var notSent *httpc.NotSentError
	switch {
	case errors.As(err, &notSent):
		return &row.UnavailableError{Err: err}
	case err != nil:
		return &row.UnknownError{Err: err}
	case answer.Status == http.StatusOK:
		return nil
	}
	f := failureOf(answer.Body)
	switch {
	case f.Type == typeCanceled:
		return canceledError(transaction, f, answer.Status)
	case f.isRefusal(answer.Status):
		return &row.UnavailableError{Err: f.err(answer.Status)}
	default:
		return &row.UnknownError{Err: f.err(answer.Status)}
	}
}

func canceledError(transaction row.Transaction, f failure, status int) error {
	if at, ok := f.conflict(); ok && at < len(transaction.Changes) {
		return &row.ConflictError{Key: transaction.Changes[at].Key}
	}
	return &row.UnavailableError{Err: f.err(status)}
}
