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
			first, _, _ := s.Add([]byte(stream[:cut]))
			second, _, last := s.Add([]byte(stream[cut:]))
			Expect(string(first) + string(second)).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
			if len(second) > 0 {
				Expect(last).To(Equal(int64(2)))
			}
			Expect(string(s.Rest())).To(Equal("id: 3\nda"))
		}
	})

	It("returns the ids of the first and the last event", func() {
		var s sse.Splitter
		_, first, last := s.Add([]byte("id: 7\n\ndata: x\n\nid:9\r\n\r\n"))
		Expect(first).To(Equal(int64(7)))
		Expect(last).To(Equal(int64(9)))
	})
})

func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\n\n"), 3)
	f.Fuzz(func(t *testing.T, p []byte, cut int) {
		cut = min(max(cut, 0), len(p))
		var s sse.Splitter
		a, _, _ := s.Add(p[:cut])
		b, _, _ := s.Add(p[cut:])
		if got := string(a) + string(b) + string(s.Rest()); got != string(p) {
			t.Fatalf("got %q, want the bytes of the stream %q", got, p)
		}
	})
}
