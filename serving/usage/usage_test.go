package usage_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

func TestUsage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "usage")
}

var _ = Describe("Reporter", func() {
	const window = 5 * time.Second
	unix := 1_000_000 * window

	It("reports each window once, after the settle time, oldest first", func() {
		r := usage.NewReporter(window, 2*time.Second, 10*time.Second)
		var reported []int64
		for at := unix; at < unix+20*time.Second; at += 100 * time.Millisecond {
			if w, ok := r.Due(at, at); ok {
				Expect(time.Duration(w+1) * window).To(BeNumerically("<=", at-2*time.Second))
				reported = append(reported, w)
				r.Done(w)
			}
		}
		for i := 1; i < len(reported); i++ {
			Expect(reported[i]).To(Equal(reported[i-1] + 1))
		}
		Expect(len(reported)).To(BeNumerically(">=", 6))
	})

	It("starts as a new holder with the windows that may not have been reported", func() {
		r := usage.NewReporter(window, 2*time.Second, 10*time.Second)
		w, ok := r.Due(unix+3*time.Second, unix+3*time.Second)
		Expect(ok).To(BeTrue())
		Expect(w).To(Equal(int64(1_000_000 - 3)))
	})
})

var _ = Describe("Reporter with missing counts", func() {
	const window = 5 * time.Second
	unix := 1_000_000 * window

	It("waits for the counts until shortly before the limit", func() {
		r := usage.NewReporter(window, 2*time.Second, 10*time.Second)
		for w, ok := r.Due(unix, unix); ok; w, ok = r.Due(unix, unix) {
			r.Done(w)
		}
		_, ok := r.Due(unix+4*time.Second, unix-time.Second)
		Expect(ok).To(BeFalse())
		w, ok := r.Due(unix+4*time.Second, unix)
		Expect(ok).To(BeTrue())
		Expect(w).To(Equal(int64(999_999)))
		_, ok = r.Due(unix+7*time.Second, unix-time.Second)
		Expect(ok).To(BeTrue())
	})
})

var _ = Describe("Tally", func() {
	It("adds up by window and removes old windows", func() {
		t := usage.NewTally(5 * time.Second)
		t.Add(10, usage.Counts{"a": 1})
		t.Add(10, usage.Counts{"a": 2, "b": 1})
		Expect(t.Windows()[10]).To(Equal(usage.Counts{"a": 3, "b": 1}))
		t.Trim(t.End(30))
		Expect(t.Windows()).To(BeEmpty())
	})
})
