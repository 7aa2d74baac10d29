package settings_test

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

var _ = Describe("Set", func() {
	var (
		flags   *flag.FlagSet
		set     *settings.Set
		address string
		limit   int
		wait    time.Duration
		keep    time.Duration
	)

	BeforeEach(func() {
		flags = flag.NewFlagSet("test", flag.ContinueOnError)
		set = settings.New(flags)
		set.Address(&address, "listen-address", "127.0.0.1:0", "where to listen", true)
		set.Int(&limit, "limit", 10, "how many", 1, 100)
		set.Duration(&wait, "wait", time.Second, "how long", time.Millisecond, time.Minute)
	})

	It("prefers a flag to the environment, and the environment to the default", func() {
		Expect(os.Setenv("SYCAMORE_LIMIT", "20")).To(Succeed())
		Expect(os.Setenv("SYCAMORE_WAIT", "3s")).To(Succeed())
		DeferCleanup(os.Unsetenv, "SYCAMORE_LIMIT")
		DeferCleanup(os.Unsetenv, "SYCAMORE_WAIT")
		Expect(flags.Parse([]string{"-limit", "30"})).To(Succeed())
		Expect(set.Load()).To(Succeed())
		Expect(limit).To(Equal(30))
		Expect(wait).To(Equal(3 * time.Second))
		Expect(address).To(Equal("127.0.0.1:0"))
	})

	It("rejects a duration that is below the minimum set by another one", func() {
		set.Duration(&keep, "keep", time.Second, "how long to keep", 0, time.Minute)
		set.RequireAtLeast(&wait, "wait", &keep, "keep")
		Expect(flags.Parse([]string{"-wait", "3s", "-keep", "4s"})).To(Succeed())
		Expect(set.Load()).To(MatchError(ContainSubstring("--wait=3s: not below --keep=4s")))
	})

	It("reports all invalid settings in one error", func() {
		Expect(flags.Parse([]string{"-limit", "x", "-wait", "5h", "-listen-address", "here"})).To(Succeed())
		err := set.Load()
		var invalid *settings.InvalidError
		Expect(err).To(BeAssignableToTypeOf(invalid))
		Expect(err.(*settings.InvalidError).Violations).To(HaveLen(3))
		Expect(err.Error()).To(ContainSubstring("--limit=x: a whole number from 1 to 100"))
	})
})
