package answer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/answer"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

func TestAnswer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "answer")
}

var _ = Describe("Log", func() {
	It("keeps pieces in order and rejects gaps and duplicates", func() {
		var log answer.Log
		Expect(log.Append(request.Piece{Index: 0, Tokens: 1, Text: "a "})).To(Succeed())
		var gap *answer.GapError
		Expect(log.Append(request.Piece{Index: 0, Tokens: 1, Text: "a "})).To(BeAssignableToTypeOf(gap))
		Expect(log.Append(request.Piece{Index: 2, Tokens: 1, Text: "c "})).To(BeAssignableToTypeOf(gap))
		Expect(log.Append(request.Piece{Index: 1, Tokens: 2, Text: "b c "})).To(Succeed())
		sum := sha256.Sum256([]byte("a b c "))
		Expect(log.Digest()).To(Equal("sha256:" + hex.EncodeToString(sum[:])))
		Expect(log.Text()).To(Equal("a b c "))
		Expect(log.Tokens()).To(Equal(3))
		Expect(log.From(1)).To(HaveLen(1))
		Expect(log.From(2)).To(BeEmpty())
	})
})
