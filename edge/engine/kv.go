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
	// maxCacheBytes bounds the KV cache of one request.
	maxCacheBytes = 64 << 20
)

// NewExportCall encodes the export of the KV cache of an attempt.
func NewExportCall(e *dispatch.Export, receiver KVReceiver) (*httpc.Call, error) {
	body, err := json.Marshal(exportBody{RequestID: requestID(e.Ref)})
	if err != nil {
		return nil, &DecodeError{Err: err}
	}
	return &httpc.Call{
		Address: e.Address,
		Method:  http.MethodPost,
		Path:    exportPath,
		Header:  http.Header{"Content-Type": {"application/json"}},
		Body:    body,
		Timeout: e.Timeout,
		Sink: collect.New(maxCacheBytes, func(answer collect.Response, err error) {
			if failure, failed := kvFailure(answer, err); failed {
				receiver.KVFailed(failure)
				return
			}
			receiver.Exported(answer.Body)
		}),
	}, nil
}

// NewImportCall encodes the import of KV cache.
func NewImportCall(i *dispatch.Import, receiver KVReceiver) *httpc.Call {
	return &httpc.Call{
		Address: i.Address,
		Method:  http.MethodPost,
		Path:    importPath,
		Header:  http.Header{"Content-Type": {"application/octet-stream"}},
		Body:    i.Cache,
		Timeout: i.Timeout,
		Sink: collect.New(maxCacheBytes, func(answer collect.Response, err error) {
			if failure, failed := kvFailure(answer, err); failed {
				receiver.KVFailed(failure)
				return
			}
			var imported importAnswer
			if err := json.Unmarshal(answer.Body, &imported); err != nil || imported.KVHandle == "" {
				receiver.KVFailed(dispatch.Failure{Kind: dispatch.Broken, Detail: "no handle in the answer"})
				return
			}
			receiver.Imported(imported.KVHandle)
		}),
	}
}

func kvFailure(answer collect.Response, err error) (dispatch.Failure, bool) {
	switch {
	case err != nil:
		return failureOf(err), true
	case answer.Status != http.StatusOK:
		return dispatch.Failure{Kind: dispatch.RefusedByUpstream, Detail: "status " + strconv.Itoa(answer.Status)}, true
	default:
		return dispatch.Failure{}, false
	}
}
