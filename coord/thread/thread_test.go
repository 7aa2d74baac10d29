package thread_test

import (
	"os"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

func TestThread(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "thread")
}

// dutyError is the error of failing duties in these tests.
type dutyError struct{}

func (dutyError) Error() string { return "duty failed" }

var _ = Describe("Thread", func() {
	It("names its thread and returns the error of the duty", func() {
		var comm string
		t := thread.Start("admission-of-long-name", func() error {
			path := "/proc/self/task/" + strconv.Itoa(unix.Gettid()) + "/comm"
			raw, _ := os.ReadFile(path)
			comm = strings.TrimSpace(string(raw))
			return dutyError{}
		})
		Expect(t.Join()).To(MatchError(dutyError{}))
		Expect(comm).To(Equal("admission-of-lo"))
		Expect(t.IsAlive()).To(BeFalse())
	})

	It("reports a panic as a typed error", func() {
		t := thread.Start("broken", func() error { panic("boom") })
		var panicked *thread.PanicError
		Expect(t.Join()).To(BeAssignableToTypeOf(panicked))
	})
})

var _ = Describe("Group", func() {
	It("reports the duty that ended first and joins all", func() {
		g := thread.NewGroup(2)
		g.Start("fails", func() error { return dutyError{} })
		ended, err := g.WaitAny()
		Expect(err).NotTo(HaveOccurred())
		Expect(ended.Duty).To(Equal("fails"))
		Expect(ended.Err).To(MatchError(dutyError{}))
		g.Start("ends", func() error { return nil })
		Expect(g.Join()).To(MatchError(dutyError{}))
		Expect(g.Status()).To(HaveLen(2))
	})
})
