package engine_test

import (
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/standin/engine"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
)

func decoded[T any](body []byte) T {
	var v T
	ExpectWithOffset(1, json.Unmarshal(body, &v)).To(Succeed(), string(body))
	return v
}

var _ = Describe("Load", func() {
	load := func(e *engine.Engine) engine.Load {
		var l engine.Load
		get(e, "/v1/load", &l)
		return l
	}

	It("counts running and waiting requests and memory", func() {
		e := start(engine.Config{Slots: 1, TokenTime: endless, KVTokens: 100, CacheBlocks: 2})
		submit(e, newRequest("a", prompt(3), 2))
		submit(e, newRequest("b", prompt(3), 2))
		l := load(e)
		Expect(l.Running).To(Equal(1))
		Expect(l.Queued).To(Equal(1))
		Expect(l.KVUsedTokens).To(Equal(3))
		Expect(l.KVTotalTokens).To(Equal(100 + 2*engine.BlockTokens))
		Expect(l.MeasuredAtMillis).To(BeNumerically("~", time.Now().UnixMilli(), 60_000))
	})

	It("is as old as the configured lag", func() {
		const lag = time.Hour
		e := start(engine.Config{TokenTime: endless, LoadLag: lag})
		submit(e, newRequest("a", "x", 2))
		l := load(e)
		Expect(l.Running).To(Equal(0))
		Expect(l.MeasuredAtMillis).To(BeNumerically("~", time.Now().Add(-lag).UnixMilli(), 60_000))
	})

	It("shows a change once the lag has passed", func() {
		e := start(engine.Config{TokenTime: endless, LoadLag: 20 * time.Millisecond})
		submit(e, newRequest("a", "x", 2))
		Eventually(func() int { return load(e).Running }).WithTimeout(20 * time.Second).Should(Equal(1))
	})

	It("counts the tokens of the last second", func() {
		e := start(engine.Config{TokenTime: fast})
		rest(submit(e, newRequest("a", "x", 20)))
		Expect(load(e).TokensPerSecond).To(BeNumerically("<=", 20))
	})
})

var _ = Describe("Orders", func() {
	order := func(e *engine.Engine, fencing uint64, models ...engine.Model) (int, engine.State, host.Failure) {
		body, err := json.Marshal(engine.Order{Fencing: fencing, Desired: engine.DesiredState{Models: models, Adapters: []string{"ad"}, Role: "decode"}})
		Expect(err).NotTo(HaveOccurred())
		status, _, answer, err := hosttest.Send(http.MethodPost, e.Address(), "/v1/orders", nil, body)
		Expect(err).NotTo(HaveOccurred())
		return status, decoded[engine.State](answer), decoded[host.Failure](answer)
	}
	state := func(e *engine.Engine) engine.State {
		var s engine.State
		get(e, "/v1/state", &s)
		return s
	}
	oldModel := engine.Model{Name: "m", Version: "1"}
	newModel := engine.Model{Name: "m", Version: "2"}

	It("shows its state", func() {
		e := start(engine.Config{Adapters: []string{"a"}, Role: "both"})
		Expect(state(e)).To(Equal(engine.State{
			Models:   []engine.ModelState{{Name: "m", Version: "1", State: engine.ModelLoaded}},
			Adapters: []string{"a"},
			Role:     "both",
			Version:  engine.Version,
		}))
	})

	It("serves the old version until the new one is loaded", func() {
		e := start(engine.Config{LoadTime: time.Hour, TokenTime: fast})
		status, s, _ := order(e, 1, newModel)
		Expect(status).To(Equal(http.StatusOK))
		Expect(s.Models).To(Equal([]engine.ModelState{
			{Name: "m", Version: "1", State: engine.ModelLoaded},
			{Name: "m", Version: "2", State: engine.ModelLoading},
		}))
		Expect(s.Role).To(Equal("decode"))
		rest(submit(e, newRequest("r", "x", 1)))
	})

	It("reaches the desired state", func() {
		e := start(engine.Config{LoadTime: fast, TokenTime: fast})
		order(e, 1, engine.Model{Name: "n", Version: "1"})
		Expect(hosttest.SendJSON(http.MethodPost, e.Address(), "/v1/completions", newRequest("r", "x", 1), nil)).To(Equal(http.StatusBadRequest))
		Eventually(func() []engine.ModelState { return state(e).Models }).WithTimeout(20 * time.Second).
			Should(Equal([]engine.ModelState{{Name: "n", Version: "1", State: engine.ModelLoaded}}))
		request := newRequest("r", "x", 1)
		request.Model, request.Adapter = "n", "ad"
		text, _ := rest(submit(e, request))
		Expect(text).To(Equal(engine.CompletionText("n", "ad", "x", 1)))
	})

	It("refuses a request as not run while its model is loading", func() {
		e := start(engine.Config{LoadTime: time.Hour})
		order(e, 1, engine.Model{Name: "n", Version: "1"})
		request := newRequest("r", "x", 1)
		request.Model = "n"
		var f host.Failure
		Expect(hosttest.SendJSON(http.MethodPost, e.Address(), "/v1/completions", request, &f)).To(Equal(http.StatusServiceUnavailable))
		Expect(f.Error.Type).To(Equal(host.FailureNotRun))
	})

	It("refuses a stale fencing number when checks are on", func() {
		e := start(engine.Config{FencingChecked: true})
		status, _, _ := order(e, 5, oldModel)
		Expect(status).To(Equal(http.StatusOK))
		status, _, f := order(e, 4, newModel)
		Expect(status).To(Equal(http.StatusConflict))
		Expect(f.Error.Type).To(Equal(engine.FailureStaleFencing))
		Expect(f.Error.Last).To(Equal(uint64(5)))
		status, _, _ = order(e, 5, oldModel)
		Expect(status).To(Equal(http.StatusOK))
		Expect(state(e).LastFencing).To(Equal(uint64(5)))
		var w engine.AuditLog
		get(e, "/standin/runs", &w)
		Expect(w.Orders).To(HaveLen(3))
		Expect(w.Orders[1].Accepted).To(BeFalse())
	})

	It("accepts a stale fencing number when checks are off", func() {
		e := start(engine.Config{})
		order(e, 5, oldModel)
		status, s, _ := order(e, 4, newModel)
		Expect(status).To(Equal(http.StatusOK))
		Expect(s.LastFencing).To(Equal(uint64(4)))
	})
})

var _ = Describe("Faults", func() {
	refusal := func(e *engine.Engine) (int, host.FailureType) {
		var f host.Failure
		status := hosttest.SendJSON(http.MethodPost, e.Address(), "/v1/completions", newRequest("r", "x", 1), &f)
		return status, f.Error.Type
	}

	DescribeTable("refuse a request that was not run",
		func(f host.Faults, status int, kind host.FailureType) {
			e := start(engine.Config{})
			hosttest.SetFaults(e.Address(), f)
			gotStatus, gotKind := refusal(e)
			Expect(gotStatus).To(Equal(status))
			Expect(gotKind).To(Equal(kind))
			Expect(runRecord(e, "r")).To(Equal(engine.RunRecord{}))
		},
		Entry("down", host.Faults{Down: true}, 503, host.FailureUnavailable),
		Entry("failing", host.Faults{Down: true, Mode: host.ModeError}, 500, host.FailureInternal),
		Entry("refusing new work", host.Faults{RefuseStart: true}, 503, host.FailureNotRun),
	)

	It("refuses requests over the rate as not run", func() {
		e := start(engine.Config{TokenTime: fast})
		hosttest.SetFaults(e.Address(), host.Faults{ThrottlePerSecond: 0.0001})
		rest(submit(e, newRequest("a", "x", 1)))
		status, kind := refusal(e)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(kind).To(Equal(host.FailureNotRun))
	})

	DescribeTable("cut a request",
		func(f host.Faults, started bool) {
			e := start(engine.Config{TokenTime: fast})
			hosttest.SetFaults(e.Address(), f)
			_, _, _, err := hosttest.Send(http.MethodPost, e.Address(), "/v1/completions", nil,
				[]byte(`{"model":"m","prompt":"x","max_tokens":1,"stream":true,"request_id":"r"}`))
			Expect(err).To(HaveOccurred())
			Expect(runRecord(e, "r").Started).To(Equal(started))
		},
		Entry("before it runs", host.Faults{LoseRequests: 1}, false),
		Entry("while it runs", host.Faults{LoseAnswers: 1}, true),
		Entry("by an outage", host.Faults{Down: true, Mode: host.ModeCut}, false),
	)

	It("holds back responses while frozen", func() {
		e := start(engine.Config{TokenTime: fast})
		s := submit(e, newRequest("r", "x", 100))
		nextChunk(s)
		hosttest.SetFaults(e.Address(), host.Faults{Freeze: true})
		Eventually(func() engine.Phase { return runRecord(e, "r").Phase }).
			WithTimeout(20 * time.Second).Should(Equal(engine.PhaseCompleted))
		hosttest.SetFaults(e.Address(), host.Faults{})
		text, _ := rest(s)
		Expect(engine.CompletionText("m", "", "x", 100)).To(HaveSuffix(text))
	})
})
