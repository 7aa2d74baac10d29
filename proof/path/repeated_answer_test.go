package path_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/daemon/gateway"
	"github.com/sycamorecourse/sycamorecourse/edge/client"
	"github.com/sycamorecourse/sycamorecourse/edge/engine"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
	"github.com/sycamorecourse/sycamorecourse/proof/bed"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// The prompt and the key that the upstream of these specs refuses or does not know.
const (
	refusedPrompt = "refuse"
	unknownKey    = "unknown"
)

// callTimeout bounds each call of these specs.
const callTimeout = 10 * time.Second

// completionAnswer returns an answer with one token of the given text.
func completionAnswer(text string) string {
	return encodeAnswer(http.StatusOK, fmt.Sprintf(
		`data: {"choices":[{"text":%q,"token_index":0,"finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n", text))
}

// errorAnswer returns a refusal of an engine or a service.
func errorAnswer(status int, kind string) string {
	return encodeAnswer(status, fmt.Sprintf(`{"error":{"type":%q}}`, kind))
}

// answerByName answers a call with what it names: the ID of the request, the imported
// cache, or the key of a service call.
func answerByName(r *http.Request, body string) string {
	var named struct {
		Prompt    string `json:"prompt"`
		RequestID string `json:"request_id"`
	}
	// The bodies of some calls are no JSON and have no such fields.
	_ = json.Unmarshal([]byte(body), &named)
	id, isStream := strings.CutPrefix(r.URL.Path, "/v1/completions/")
	key := r.Header.Get("X-Request-Key")
	switch {
	case named.Prompt == refusedPrompt, key == unknownKey:
		return errorAnswer(http.StatusServiceUnavailable, "not_run")
	case isStream && strings.Contains(id, unknownKey):
		return errorAnswer(http.StatusNotFound, "not_found")
	case isStream:
		return completionAnswer(id)
	case r.URL.Path == "/v1/completions":
		return completionAnswer(named.RequestID)
	case r.URL.Path == "/v1/kv/export":
		return encodeAnswer(http.StatusOK, named.RequestID)
	case r.URL.Path == "/v1/kv/import":
		return encodeAnswer(http.StatusOK, fmt.Sprintf(`{"kv_handle":%q}`, body))
	default:
		return encodeAnswer(http.StatusOK, key)
	}
}

// upstreamCall makes a call to an upstream and returns its outcome.
type upstreamCall func(http *httpc.Client, address string) string

// startCall starts a call and returns its outcome.
func startCall(http *httpc.Client, call *httpc.Call, r *outcomeRecorder) string {
	GinkgoHelper()
	Expect(http.Start(call)).To(Succeed())
	return r.take()
}

func refOf(key string) dispatch.StreamRef {
	return dispatch.StreamRef{ID: request.ID{Customer: "academy", Key: key}, Attempt: 1, AttemptID: "academy/" + key + "#1"}
}

func completion(key, prompt string) upstreamCall {
	return func(http *httpc.Client, address string) string {
		GinkgoHelper()
		r := newOutcomeRecorder()
		send := &dispatch.Send{Ref: refOf(key), Address: address, Request: &request.Request{ID: refOf(key).ID, Prompt: prompt, MaxTokens: 1}}
		call, err := engine.NewCall(send, callTimeout, r)
		Expect(err).NotTo(HaveOccurred())
		return startCall(http, call, r)
	}
}

func serviceCall(key string, idempotent bool) upstreamCall {
	return func(http *httpc.Client, address string) string {
		GinkgoHelper()
		r := newOutcomeRecorder()
		send := &dispatch.Send{Ref: refOf(key), Address: address, Request: &request.Request{
			ID: refOf(key).ID, Idempotent: idempotent, Call: &request.ServiceCall{Method: "POST", Path: "/boardings"},
		}}
		call, err := engine.NewCall(send, callTimeout, r)
		Expect(err).NotTo(HaveOccurred())
		return startCall(http, call, r)
	}
}

func reattach(key string) upstreamCall {
	return func(http *httpc.Client, address string) string {
		GinkgoHelper()
		r := newOutcomeRecorder()
		return startCall(http, engine.NewReattachCall(&dispatch.Reattach{Ref: refOf(key), Address: address}, callTimeout, r), r)
	}
}

func cancellation(key string) upstreamCall {
	return func(http *httpc.Client, address string) string {
		GinkgoHelper()
		r := newOutcomeRecorder()
		call := engine.NewCancelCall(&dispatch.Abort{Ref: refOf(key), Address: address}, callTimeout)
		call.Sink = collect.New(1<<10, func(answer collect.Response, _ error) { _ = r.outcomes.Offer("status " + strconv.Itoa(answer.Status)) })
		return startCall(http, call, r)
	}
}

func export(key string) upstreamCall {
	return func(http *httpc.Client, address string) string {
		GinkgoHelper()
		r := newOutcomeRecorder()
		call, err := engine.NewExportCall(&dispatch.Export{Ref: refOf(key), Address: address, Timeout: callTimeout}, r)
		Expect(err).NotTo(HaveOccurred())
		return startCall(http, call, r)
	}
}

func importOf(cache string) upstreamCall {
	return func(http *httpc.Client, address string) string {
		GinkgoHelper()
		r := newOutcomeRecorder()
		return startCall(http, engine.NewImportCall(&dispatch.Import{Address: address, Cache: []byte(cache), Timeout: callTimeout}, r), r)
	}
}

// Guards against an answer being taken for that of another call: nothing in the answers
// of engines and services names the call, so a late copy looks like the next answer.
var _ = Describe("Calls to an upstream that repeats its answers", func() {
	DescribeTable("end with their own answers",
		func(first upstreamCall, firstOutcome string, second upstreamCall, secondOutcome string) {
			upstream := startRepeatingUpstream(answerByName)
			http := httpc.New(httpc.Config{})
			Expect(http.Open()).To(Succeed())
			running := thread.Start("client", http.Run)
			DeferCleanup(func() {
				http.Close()
				Expect(running.Join()).To(Succeed())
			})
			Expect(first(http, upstream.address())).To(Equal(firstOutcome))
			Expect(second(http, upstream.address())).To(Equal(secondOutcome))
		},
		Entry("a completion after a refused one", completion("first", refusedPrompt), "failed: status 503 not_run", completion("second", "p"), "completed: academy/second#1"),
		Entry("a completion after another one", completion("first", "p"), "completed: academy/first#1", completion("second", "p"), "completed: academy/second#1"),
		Entry("a completion after a cancellation", cancellation(unknownKey), "status 404", completion("second", "p"), "completed: academy/second#1"),
		Entry("a reattachment after a failed one", reattach(unknownKey), "failed: status 404 not_found", reattach("second"), "completed: academy/second#1"),
		Entry("a service call after another one", serviceCall("first", false), "replied: first", serviceCall("second", false), "replied: second"),
		Entry("an idempotent service call after a refused one", serviceCall(unknownKey, true), "failed: status 503", serviceCall("second", true), "replied: second"),
		Entry("an export after another one", export("first"), "exported: academy/first#1", export("second"), "exported: academy/second#1"),
		Entry("an import after another one", importOf("first"), "imported: first", importOf("second"), "imported: second"),
	)
})

var _ = Describe("A gateway, with an upstream that repeats its answers", func() {
	// open starts a gateway with the upstream as the only one of a pool.
	open := func(pool string, answer func(*http.Request, string) string) *client.Client {
		GinkgoHelper()
		upstream := startRepeatingUpstream(answer)
		b, err := bed.Open(bed.Config{Gateways: 1})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(b.Close)
		Expect(b.Apply(gateway.Update{
			Removed: []string{b.Instances()[0].ID},
			Upserts: []fleet.Instance{{
				ID: "repeating", Member: bed.Member, Pool: pool, Address: upstream.address(), FailureDomain: "seoul-a", State: fleet.Live,
			}},
		})).To(Succeed())
		c := client.New(client.Config{SeedAddresses: b.Seeds(), Credential: bed.Credential, RandomSeed: 1})
		Expect(c.Open()).To(Succeed())
		DeferCleanup(c.Close)
		return c
	}

	// Guards against a second run: the engine refuses the first attempt and runs the
	// second, whose answer comes after a copy of the refusal.
	It("runs a non-idempotent request once", func() {
		var runs, refusals atomic.Int32
		c := open(bed.ModelName, func(r *http.Request, body string) string {
			switch {
			case r.Method != http.MethodPost:
				return errorAnswer(http.StatusNotFound, "not_found")
			case refusals.CompareAndSwap(0, 1):
				return errorAnswer(http.StatusServiceUnavailable, "not_run")
			default:
				runs.Add(1)
				return completionAnswer("own")
			}
		})
		answer, err := c.Submit(client.Request{Key: "once", Model: bed.ModelName, Prompt: "p", MaxTokens: 1, Deadline: callTimeout}, nil)
		Expect(runs.Load()).To(BeEquivalentTo(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Text).To(Equal("own"))
	})

	// Guards against giving a caller the reply to another one's call.
	It("gives each caller of a service the reply to its own call", func() {
		c := open(bed.ServiceName, answerByName)
		for _, key := range []string{"first", "second"} {
			reply, err := c.Call(client.Call{Key: key, Service: bed.ServiceName, Method: "POST", Path: "/boardings/1", Deadline: callTimeout})
			Expect(err).NotTo(HaveOccurred())
			Expect(string(reply.Body)).To(Equal(key))
		}
	})
})
