package table

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

// contentType is the content type of the DynamoDB protocol.
const contentType = "application/x-amz-json-1.0"

// targetPrefix is the part of the X-Amz-Target header before the operation.
const targetPrefix = "DynamoDB_20120810."

// Client calls the table service. Any thread may use it.
type Client struct {
	config Config
	http   *httpc.Client
}

// New returns a Client that sends its requests with http.
func New(config Config, http *httpc.Client) *Client {
	return &Client{config: config.withDefaults(), http: http}
}

// Read reads a row with strong consistency: as of some time after the call. A row
// that does not exist has version 0. It fails with a *row.UnavailableError.
func (c *Client) Read(key row.Key, done func(row.Row, error)) {
	request := getRequest{TableName: c.config.Table, Key: keyItem(key), ConsistentRead: true}
	c.call("GetItem", request, func(httpResponse collect.Response, err error) {
		found, err := decodeRow(key, httpResponse, err)
		if err != nil {
			done(row.Row{}, &row.UnavailableError{Err: err})
			return
		}
		done(found, nil)
	})
}

// List reads the rows of a partition whose sort keys begin with prefix, in the
// order of their sort keys. A row that changes during the call may be returned in
// either version. It fails with a *row.UnavailableError.
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
// *row.ConflictError or a *row.UnavailableError if it made none, and with a
// *row.UnknownError if that is not certain.
func (c *Client) Write(transaction row.Transaction, done func(error)) {
	request := newWriteRequest(c.config.Table, transaction)
	c.call("TransactWriteItems", request, func(httpResponse collect.Response, err error) {
		done(writeError(transaction, httpResponse, err))
	})
}

// call sends one operation. If it can't be started, done gets a
// *httpc.NotSentError.
func (c *Client) call(operation string, request any, done func(collect.Response, error)) {
	body, err := json.Marshal(request)
	if err != nil {
		done(collect.Response{}, &httpc.NotSentError{Address: c.config.Address, Err: err})
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
	}, c.config.MaxResponseBytes, done)
}

func decodeRow(key row.Key, httpResponse collect.Response, err error) (row.Row, error) {
	if err := readError(httpResponse, err); err != nil {
		return row.Row{}, err
	}
	var response getResponse
	if err := json.Unmarshal(httpResponse.Body, &response); err != nil {
		return row.Row{}, &collect.MalformedError{Err: err}
	}
	if len(response.Item) == 0 {
		return row.Row{Key: key}, nil
	}
	return response.Item.row()
}

func readError(httpResponse collect.Response, err error) error {
	if err != nil {
		return err
	}
	if httpResponse.Status != http.StatusOK {
		return decodeErrorBody(httpResponse.Body).statusError(httpResponse.Status)
	}
	return nil
}

// writeError returns the error of a write, or nil if it succeeded.
func writeError(transaction row.Transaction, httpResponse collect.Response, err error) error {
	var notSent *httpc.NotSentError
	switch {
	case errors.As(err, &notSent):
		return &row.UnavailableError{Err: err}
	case err != nil:
		return &row.UnknownError{Err: err}
	case httpResponse.Status == http.StatusOK:
		return nil
	}
	f := decodeErrorBody(httpResponse.Body)
	switch {
	case f.Type == typeCanceled:
		return canceledError(transaction, f, httpResponse.Status)
	case f.isRejection(httpResponse.Status):
		return &row.UnavailableError{Err: f.statusError(httpResponse.Status)}
	default:
		return &row.UnknownError{Err: f.statusError(httpResponse.Status)}
	}
}

// canceledError returns the error of a canceled transaction: a conflict if the
// condition of a change failed.
func canceledError(transaction row.Transaction, f errorBody, status int) error {
	if at, ok := f.conflictIndex(); ok && at < len(transaction.Changes) {
		return &row.ConflictError{Key: transaction.Changes[at].Key}
	}
	return &row.UnavailableError{Err: f.statusError(status)}
}
