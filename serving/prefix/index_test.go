package prefix_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
)

func TestPrefix(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prefix")
}

var _ = Describe("Blocks", func() {
	text := strings.Repeat("x", 3*prefix.BlockBytes)

	It("agrees on the common prefix only", func() {
		a := prefix.Blocks("m", "", text+"tail")
		b := prefix.Blocks("m", "", text[:2*prefix.BlockBytes]+strings.Repeat("y", prefix.BlockBytes))
		Expect(a).To(HaveLen(3))
		Expect(b[:2]).To(Equal(a[:2]))
		Expect(b[2]).NotTo(Equal(a[2]))
	})

	It("differs between models and adapters", func() {
		Expect(prefix.Blocks("m", "a", text)).NotTo(Equal(prefix.Blocks("m", "b", text)))
		Expect(prefix.Blocks("ma", "", text)).NotTo(Equal(prefix.Blocks("m", "a", text)))
	})
})

var _ = Describe("Index", func() {
	blocks := prefix.Blocks("m", "", strings.Repeat("x", 8*prefix.BlockBytes))

	It("finds holders, longest first, until they are removed or expire", func() {
		x := prefix.NewIndex(prefix.IndexConfig{Expiry: time.Minute})
		x.Add(1, blocks[:4], 0)
		x.Add(2, blocks, 0)
		Expect(x.Lookup(blocks, 1)).To(Equal([]prefix.Match{{Holder: 2, Blocks: 8}, {Holder: 1, Blocks: 4}}))
		x.Remove(2, blocks[4:])
		x.Remove(1, blocks)
		Expect(x.Lookup(blocks, 1)).To(Equal([]prefix.Match{{Holder: 2, Blocks: 4}}))
		Expect(x.Lookup(blocks, clock.Instant(2*time.Minute))).To(BeEmpty())
	})

	It("stays within its capacity and keeps the blocks in use", func() {
		x := prefix.NewIndex(prefix.IndexConfig{Capacity: 64})
		x.Add(1, blocks, 0)
		for i := range uint64(1000) {
			x.Add(2, []uint64{i}, 0)
			Expect(x.Lookup(blocks, 0)).NotTo(BeEmpty())
		}
		Expect(x.Len()).To(Equal(64))
	})
})

var _ = Describe("Transfer", func() {
	transfer := prefix.Transfer{
		Tokens:         8000,
		BytesPerToken:  100_000,
		BytesPerSecond: 2e9,
		Setup:          50 * time.Millisecond,
		TimePerToken:   100 * time.Microsecond,
	}

	It("moves a long prompt and computes a short one", func() {
		Expect(transfer.MoveTime()).To(Equal(450 * time.Millisecond))
		Expect(transfer.ShouldMove()).To(BeTrue())
		short := transfer
		short.Tokens = 500
		Expect(short.ShouldMove()).To(BeFalse())
	})

	It("computes if the source is gone before, or moves fail too often", func() {
		leaving := transfer
		leaving.Available = 400 * time.Millisecond
		Expect(leaving.ShouldMove()).To(BeFalse())
		flaky := transfer
		flaky.FailureShare = 0.5
		Expect(flaky.ShouldMove()).To(BeFalse())
	})
})
