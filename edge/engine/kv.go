package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

const (
	exportPath = "/v1/kv/export"
	importPath = "/v1/kv/import"
	// maxCacheBytes is the maximum size of the exported KV cache of one request.
	maxCacheBytes = 64 << 20
)

// NewExportCall returns the call that stops an attempt and exports its KV cache.
func NewExportCall(e *dispatch.Export, receiver KVReceiver) (*httpc.Call, error) {
	body, err := json.Marshal(exportRequest{RequestID: e.Ref.AttemptID})
	if err != nil {
		return nil, &DecodeError{Err: err}
	}
	return &httpc.Call{
		Address:   e.Address,
		Method:    http.MethodPost,
		Path:      exportPath,
		Header:    http.Header{"Content-Type": {"application/json"}},
		Body:      body,
		Timeout:   e.Timeout,
		Exclusive: true,
		Sink: collect.New(maxCacheBytes, func(answer collect.Response, err error) {
			if failure, failed := kvFailure(answer, err); failed {
				receiver.KVFailed(failure)
				return
			}
			receiver.Exported(answer.Body)
		}),
	}, nil
}

// NewImportCall returns the call that imports an exported KV cache.
func NewImportCall(i *dispatch.Import, receiver KVReceiver) *httpc.Call {
	return &httpc.Call{
		Address:   i.Address,
		Method:    http.MethodPost,
		Path:      importPath,
		Header:    http.Header{"Content-Type": {"application/octet-stream"}},
		Body:      i.Cache,
		Timeout:   i.Timeout,
		Exclusive: true,
		Sink: collect.New(maxCacheBytes, func(answer collect.Response, err error) {
			if failure, failed := kvFailure(answer, err); failed {
				receiver.KVFailed(failure)
				return
			}
			var imported importResponse
			if err := json.Unmarshal(answer.Body, &imported); err != nil || imported.KVHandle == "" {
				receiver.KVFailed(dispatch.Failure{Kind: dispatch.Broken, Detail: "no handle in the answer"})
				return
			}
			receiver.Imported(imported.KVHandle)
		}),
	}
}

// kvFailure returns the failure of an export or import; the result is false if
// the call succeeded.
func kvFailure(answer collect.Response, err error) (dispatch.Failure, bool) {
	switch {
	case err != nil:
		return failureFromError(err), true
	case answer.Status != http.StatusOK:
		return dispatch.Failure{Kind: dispatch.RefusedByUpstream, Detail: "status " + strconv.Itoa(answer.Status)}, true
	default:
		return dispatch.Failure{}, false
	}
}
