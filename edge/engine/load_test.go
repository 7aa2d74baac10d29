package engine_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/engine"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

var _ = Describe("DecodeLoad", func() {
	measured := time.UnixMilli(1_700_000_000_000)

	It("reads a report and its age", func() {
		load, err := engine.DecodeLoad([]byte(`{"running":3,"measured_at_ms":1700000000000}`), measured.Add(time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(load.Running).To(Equal(3))
		Expect(load.Age).To(Equal(time.Second))
	})

	// Guards against taking a late copy of the answer to a cancellation, which shares
	// connections with reads of load, for the report of an idle engine.
	It("fails for an answer that does not say when it was measured", func() {
		_, err := engine.DecodeLoad([]byte(`{"request_id":"a/k#1","phase":"canceled","started":true,"tokens_sent":3}`), measured)
		Expect(err).To(BeAssignableToTypeOf(&engine.UndatedLoadError{}))
	})
})
