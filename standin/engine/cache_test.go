package engine_test

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/standin/engine"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
)

var _ = Describe("Prefix cache", func() {
	usage := func(e *engine.Engine, id, text string) engine.Usage {
		_, last := rest(submit(e, newRequest(id, text, 1)))
		return *last.Usage
	}

	It("takes the whole blocks of a known prefix from the cache", func() {
		e := start(engine.Config{TokenTime: fast})
		Expect(usage(e, "a", prompt(40)).CachedTokens).To(Equal(0))
		Expect(usage(e, "b", prompt(40)).CachedTokens).To(Equal(2 * engine.BlockTokens))
		Expect(usage(e, "c", prompt(20)+" other").CachedTokens).To(Equal(engine.BlockTokens))
		Expect(usage(e, "d", "other "+prompt(40)).CachedTokens).To(Equal(0))
	})

	It("evicts the least recently used blocks and publishes the events", func() {
		e := start(engine.Config{TokenTime: fast, CacheBlocks: 2})
		usage(e, "a", prompt(32))
		usage(e, "b", "x "+prompt(32))
		Expect(usage(e, "c", prompt(32)).CachedTokens).To(Equal(0))
		var events engine.CacheEvents
		get(e, "/v1/cache/events", &events)
		Expect(events.LastSeq).To(Equal(uint64(len(events.Events))))
		blocks := engine.TextBlocks("m", "", prompt(32))
		Expect(events.Events[0]).To(HaveField("Kind", engine.EventInsert))
		Expect(events.Events[0]).To(HaveField("Block", blocks[0].String()))
		Expect(events.Events[0]).To(HaveField("Parent", engine.RootBlock("m", "").String()))
		Expect(events.Events).To(ContainElement(HaveField("Kind", engine.EventEvict)))
		var later engine.CacheEvents
		get(e, fmt.Sprintf("/v1/cache/events?after=%d", events.LastSeq-1), &later)
		Expect(later.Events).To(Equal(events.Events[len(events.Events)-1:]))
	})

	It("publishes events late", func() {
		e := start(engine.Config{TokenTime: fast, CacheLag: time.Hour})
		usage(e, "a", prompt(32))
		var events engine.CacheEvents
		get(e, "/v1/cache/events", &events)
		Expect(events).To(Equal(engine.CacheEvents{Events: []engine.CacheEvent{}}))
	})

	It("drops the same events for the same seed", func() {
		published := func(seed uint64) []uint64 {
			e := start(engine.Config{TokenTime: fast, CacheGapEvery: 4, Seed: seed})
			usage(e, "a", prompt(32*engine.BlockTokens))
			var events engine.CacheEvents
			get(e, "/v1/cache/events", &events)
			Expect(events.LastSeq).To(Equal(uint64(32)))
			var seqs []uint64
			for _, event := range events.Events {
				seqs = append(seqs, event.Seq)
			}
			return seqs
		}
		first := published(1)
		Expect(len(first)).To(BeNumerically("<", 32))
		Expect(published(1)).To(Equal(first))
		Expect(published(2)).NotTo(Equal(first))
	})
})

var _ = Describe("KV cache", func() {
	It("moves a request without recomputing its tokens", func() {
		from, to := start(engine.Config{TokenTime: fast}), start(engine.Config{TokenTime: fast})
		s := submit(from, newRequest("r", prompt(20), 200))
		nextChunk(s)
		status, header, blob, err := hosttest.Send(http.MethodPost, from.Address(), "/v1/kv/export", nil, []byte(`{"request_id":"r"}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(failureOf(s)).To(Equal(engine.FailureExported))
		var sent int
		_, err = fmt.Sscan(header.Get("X-Answer-Tokens"), &sent)
		Expect(err).NotTo(HaveOccurred())
		Expect(header.Get("X-Token-Count")).To(Equal(fmt.Sprint(20 + sent)))

		request := newRequest("r", prompt(20), 200)
		request.ResumeFrom = sent
		request.ResumeText = engine.CompletionText("m", "", prompt(20), sent)
		request.KVHandle = importKV(to, blob).KVHandle
		text, last := rest(submit(to, request))
		Expect(request.ResumeText + text).To(Equal(engine.CompletionText("m", "", prompt(20), 200)))
		Expect(last.Usage.RecomputedTokens).To(BeZero())
		Expect(last.Usage.CachedTokens).To(Equal(20 + sent))
		Expect(runRecord(from, "r").Phase).To(Equal(engine.PhaseExported))

		var f host.Failure
		Expect(hosttest.SendJSON(http.MethodPost, to.Address(), "/v1/completions", request, &f)).To(Equal(http.StatusBadRequest))
		Expect(f.Error.Type).To(Equal(engine.FailureUnknownHandle))
	})

	It("refuses the KV cache of another prompt", func() {
		e := start(engine.Config{TokenTime: fast})
		s := submit(e, newRequest("r", "a", 200))
		nextChunk(s)
		_, _, blob, err := hosttest.Send(http.MethodPost, e.Address(), "/v1/kv/export", nil, []byte(`{"request_id":"r"}`))
		Expect(err).NotTo(HaveOccurred())
		request := newRequest("other", "b", 3)
		request.KVHandle = importKV(e, blob).KVHandle
		var f host.Failure
		Expect(hosttest.SendJSON(http.MethodPost, e.Address(), "/v1/completions", request, &f)).To(Equal(http.StatusBadRequest))
		Expect(f.Error.Type).To(Equal(engine.FailureUnknownHandle))
	})

	It("refuses malformed imports, and exports of requests that are not decoding", func() {
		e := start(engine.Config{TokenTime: fast})
		status, _, _, err := hosttest.Send(http.MethodPost, e.Address(), "/v1/kv/import", nil, bytes.Repeat([]byte("x"), 10))
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(hosttest.SendJSON(http.MethodPost, e.Address(), "/v1/kv/export", engine.ExportRequest{RequestID: "none"}, nil)).
			To(Equal(http.StatusNotFound))
		rest(submit(e, newRequest("r", "x", 1)))
		Expect(hosttest.SendJSON(http.MethodPost, e.Address(), "/v1/kv/export", engine.ExportRequest{RequestID: "r"}, nil)).
			To(Equal(http.StatusConflict))
	})
})

func importKV(e *engine.Engine, blob []byte) engine.ImportResponse {
	status, _, body, err := hosttest.Send(http.MethodPost, e.Address(), "/v1/kv/import", nil, blob)
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusOK))
	return decoded[engine.ImportResponse](body)
}
