package relay_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// observation is what the actions of a core reveal about one request.
type observation struct {
	route        string
	sends        int
	possibleRuns int // sends not known to be not run
	finalActions int
	disconnected bool
	lastEvent    int64
	status       int // of the last complete response that may have run
}

// TestProperties feeds random events to a core and checks its actions: each request
// gets one final action, no request runs twice unless its route allows it, and no
// request that may have run is refused as not run, by the gateway or by a status of its
// upstream that is passed on.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		core := relay.New(relay.Config{RetryRatio: 0.5, RetryExtra: 1000, RetryWindow: 10 * time.Second})
		core.Configure(testCatalog(1), now)
		observations := make(map[relay.Handle]*observation)
		open := make(map[relay.AttemptRef]bool)
		var handle relay.Handle
		setUpstreams := func() {
			var list []*catalog.Upstream
			for _, id := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID).Draw(t, "upstreams") {
				list = append(list, &catalog.Upstream{ID: id, Service: "s", Slots: 2, StartedAtMillis: int64(rapid.IntRange(0, 1).Draw(t, "born"))})
			}
			core.SetUpstreams(list, now)
		}
		setUpstreams()
		check := func() {
			for _, a := range core.Actions() {
				observe(t, observations, open, a)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			refs := make([]relay.AttemptRef, 0, len(open))
			for h := relay.Handle(1); h <= handle; h++ {
				for n := 1; n <= 4; n++ {
					if ref := (relay.AttemptRef{Handle: h, Attempt: n}); open[ref] {
						refs = append(refs, ref)
					}
				}
			}
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step <= 2 || len(refs) == 0:
				handle++
				route := rapid.SampledFrom([]string{"once", "safe", "stream", "single"}).Draw(t, "route")
				observations[handle] = &observation{route: route}
				core.RequestArrived(relay.Request{Handle: handle, ID: "i", Host: "h", Path: "/" + route + "/"}, now)
			case step == 3:
				now = now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond)
				core.Tick(now)
			case step == 4:
				setUpstreams()
			case step == 5:
				h := rapid.SampledFrom(refs).Draw(t, "gone").Handle
				observations[h].disconnected = true
				core.CallerGone(h, now)
			default:
				ref := rapid.SampledFrom(refs).Draw(t, "ref")
				respond(t, core, observations, open, ref, now)
			}
			check()
		}
		now = now.Add(time.Minute)
		core.Tick(now)
		check()
		for h, a := range observations {
			if a.finalActions != 1 && !a.disconnected {
				t.Fatalf("request %d on %s got %d final actions", h, a.route, a.finalActions)
			}
		}
		if core.OpenRequests() != 0 {
			t.Fatalf("%d requests are still open", core.OpenRequests())
		}
	})
}

// respond ends an open attempt with a random outcome, or sends it an event.
func respond(t *rapid.T, core *relay.Core, observations map[relay.Handle]*observation, open map[relay.AttemptRef]bool, ref relay.AttemptRef, now clock.Instant) {
	a := observations[ref.Handle]
	switch rapid.IntRange(0, 6).Draw(t, "answer") {
	case 0:
		a.possibleRuns--
		delete(open, ref)
		core.AttemptFailed(ref, relay.Failure{NotSent: true}, now)
	case 1:
		a.possibleRuns--
		delete(open, ref)
		core.HeadReceived(ref, relay.ResponseHead{Status: 503, NotRun: true}, now)
		core.ResponseEnded(ref, now)
	case 2:
		delete(open, ref)
		core.AttemptFailed(ref, relay.Failure{}, now)
	case 3:
		delete(open, ref)
		a.status = 500
		core.HeadReceived(ref, relay.ResponseHead{Status: 500, Sealed: true}, now)
		core.ResponseEnded(ref, now)
	case 4:
		core.HeadReceived(ref, sealedOK, now)
		n := rapid.Int64Range(1, 9).Draw(t, "event")
		core.BodyReceived(ref, relay.BodyChunk{Bytes: []byte{byte('0' + n)}, FirstEvent: n, LastEvent: n}, now)
	case 5:
		delete(open, ref)
		a.status = rapid.SampledFrom([]int{408, 429, 503}).Draw(t, "status")
		core.HeadReceived(ref, relay.ResponseHead{Status: a.status, Sealed: true}, now)
		core.ResponseEnded(ref, now)
	default:
		delete(open, ref)
		a.status = 200
		core.HeadReceived(ref, sealedOK, now)
		core.ResponseEnded(ref, now)
	}
}

// observe checks one action and records it.
func observe(t *rapid.T, observations map[relay.Handle]*observation, open map[relay.AttemptRef]bool, action relay.Action) {
	final := func(h relay.Handle) *observation {
		a := observations[h]
		a.finalActions++
		if a.finalActions > 1 {
			t.Fatalf("request got a second final action: %T", action)
		}
		return a
	}
	switch action := action.(type) {
	case relay.Send:
		a := observations[action.Ref.Handle]
		a.sends++
		if a.possibleRuns > 0 && (a.route == "once" || a.route == "single") {
			t.Fatalf("a request on %s was sent again though it may have run", a.route)
		}
		a.possibleRuns++
		if a.possibleRuns > 2 {
			t.Fatalf("more upstreams than the route allows may have run a request")
		}
		if a.disconnected {
			t.Fatalf("a request was sent after its caller disconnected")
		}
		open[action.Ref] = true
	case relay.Cancel:
		delete(open, action.Ref)
	case relay.WriteStream:
		a := observations[action.Handle]
		if n := int64(action.Bytes[0] - '0'); n <= a.lastEvent {
			t.Fatalf("event %d was passed on after event %d", n, a.lastEvent)
		} else {
			a.lastEvent = n
		}
	case relay.Reply:
		a := final(action.Ref.Handle)
		if rejects := a.status == 408 || a.status == 429 || a.status == 503; rejects && (a.route == "once" || a.route == "single") {
			t.Fatalf("status %d of a request on %s that may have run was passed on", a.status, a.route)
		}
	case relay.EndStream:
		final(action.Handle)
	case relay.Abort:
		final(action.Handle)
	case relay.Refuse:
		if a := final(action.Handle); action.Refusal.NotRun && a.possibleRuns > 0 {
			t.Fatalf("a request on %s was refused as not run though it may have run", a.route)
		}
	}
}

// TestBudget checks that the retries of all gateways together stay within the retry
// budget of a service, however requests are distributed over the gateways.
func TestBudget(t *testing.T) {
	const ratio, extra = 0.2, 40
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 6).Draw(t, "gateways")
		now := clock.Instant(time.Hour)
		cores := make([]*relay.Core, gateways)
		for i := range cores {
			cores[i] = relay.New(relay.Config{RetryRatio: ratio, RetryExtra: extra, RetryWindow: 10 * time.Second})
			cores[i].Configure(testCatalog(1), now)
			cores[i].SetDivision(cluster.Division{Gateways: gateways}, now)
			cores[i].SetUpstreams([]*catalog.Upstream{{ID: "a", Service: "s", Slots: 99}, {ID: "b", Service: "s", Slots: 99}}, now)
		}
		requests, retries := 0, 0
		for i := range rapid.IntRange(1, 300).Draw(t, "requests") {
			core := cores[rapid.IntRange(0, gateways-1).Draw(t, "gateway")]
			requests++
			core.RequestArrived(relay.Request{Handle: relay.Handle(i + 1), ID: "i", Host: "h", Path: "/safe/"}, now)
			for sends := 0; ; sends++ {
				var sent *relay.Send
				for _, a := range core.Actions() {
					if s, isSend := a.(relay.Send); isSend {
						sent = &s
					}
				}
				if sent == nil {
					break
				}
				if sends > 0 {
					retries++
				}
				core.HeadReceived(sent.Ref, relay.ResponseHead{Status: 503, NotRun: true}, now)
				core.ResponseEnded(sent.Ref, now)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
		}
		if allowed := ratio*float64(requests) + extra; float64(retries) > allowed {
			t.Fatalf("%d retries of %d requests", retries, requests)
		}
	})
}
