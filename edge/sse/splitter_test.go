package sse_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/sse"
)

func TestSplitter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sse")
}

var _ = Describe("Splitter", func() {
	It("returns only complete events, wherever the stream is cut", func() {
		const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
		for cut := range len(stream) {
			var s sse.Splitter
			first, err := s.Add([]byte(stream[:cut]))
			Expect(err).NotTo(HaveOccurred())
			second, err := s.Add([]byte(stream[cut:]))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(first.Bytes) + string(second.Bytes)).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
			if len(second.Bytes) > 0 {
				Expect(second.Last).To(Equal(int64(2)))
			}
			Expect(string(s.Rest())).To(Equal("id: 3\nda"))
		}
	})

	It("returns the ids of the first and the last event", func() {
		var s sse.Splitter
		events, err := s.Add([]byte("id: 7\n\ndata: x\n\nid:9\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(events.First).To(Equal(int64(7)))
		Expect(events.Last).To(Equal(int64(9)))
		Expect(events.HasData).To(BeTrue())
	})

	It("tells comments from events with data", func() {
		var s sse.Splitter
		events, err := s.Add([]byte(": still there\n\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(events.Bytes).NotTo(BeEmpty())
		Expect(events.HasData).To(BeFalse())
	})

	DescribeTable("tells events without a number", func(text string, unnumbered bool) {
		var s sse.Splitter
		events, err := s.Add([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		Expect(events.Unnumbered).To(Equal(unnumbered))
	},
		Entry("numbered", "id: 1\ndata: x\n\n", false),
		Entry("numbered, further field first", "weight-versions: 3\nid: 1\ndata: x\n\n", false),
		Entry("comment", ": x\n\n", false),
		Entry("data only", "id: 1\ndata: x\n\ndata: y\n\n", true),
		Entry("head of another response", "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n", true),
		Entry("id that is no number", "id: x\ndata: y\n\n", true),
	)

	It("rejects an event without an end", func() {
		var s sse.Splitter
		var err error
		added := 0
		for err == nil && added < 3*sse.MaxEventBytes {
			_, err = s.Add(make([]byte, 1<<12))
			added += 1 << 12
		}
		Expect(err).To(BeAssignableToTypeOf(&sse.EventSizeError{}))
		Expect(added).To(BeNumerically("<=", sse.MaxEventBytes+1<<12))
	})
})

func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\n\n"), 3)
	f.Fuzz(func(t *testing.T, p []byte, cut int) {
		cut = min(max(cut, 0), len(p))
		var s sse.Splitter
		a, err := s.Add(p[:cut])
		if err != nil {
			return
		}
		b, err := s.Add(p[cut:])
		if err != nil {
			return
		}
		if got := string(a.Bytes) + string(b.Bytes) + string(s.Rest()); got != string(p) {
			t.Fatalf("got %q, want the bytes of the stream %q", got, p)
		}
	})
}
