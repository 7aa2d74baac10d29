package measure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// OpenStreams opens streams at a gateway, all at once, and returns the number
// of threads of this process while all of them run.
func OpenStreams(gateway, credential, model string, streams, tokens int) (int, error) {
	client := httpc.New(httpc.Config{Capacity: 2 * streams, MaxIdle: streams})
	if err := client.Open(); err != nil {
		return 0, err
	}
	running := thread.Start("streams", client.Run)
	begun := ring.New[bool]("begun", streams)
	ended := ring.New[error]("ended", streams)
	for i := range streams {
		body, err := json.Marshal(caller.SubmitBody{
			Key: fmt.Sprintf("stream-%d-%d", time.Now().UnixNano(), i), Idempotent: true, Model: model,
			Prompt: "stream the pickups", MaxTokens: tokens,
		})
		if err != nil {
			return 0, err
		}
		err = client.Start(&httpc.Call{
			Address: gateway, Method: http.MethodPost, Path: caller.RequestsPath, Body: body, Timeout: time.Minute,
			Header: http.Header{"Authorization": {"Bearer " + credential}},
			Sink:   &streamSink{begun: begun, ended: ended},
		})
		if err != nil {
			return 0, err
		}
	}
	for range streams {
		if _, err := begun.Take(); err != nil {
			return 0, err
		}
	}
	threads, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return 0, err
	}
	for range streams {
		outcome, err := ended.Take()
		if err == nil {
			err = outcome
		}
		if err != nil {
			return 0, err
		}
	}
	client.Close()
	return len(threads), running.Join()
}
