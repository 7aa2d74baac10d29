package command

import (
	"bytes"
	"testing"

	"github.com/google/subcommands"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "commands of sycamored")
}

var _ = Describe("check", func() {
	DescribeTable("a role", func(want subcommands.ExitStatus, text string, args ...string) {
		var out bytes.Buffer
		Expect(checkRole(&out, args)).To(Equal(want))
		Expect(out.String()).To(ContainSubstring(text))
	},
		Entry("none", subcommands.ExitUsageError, "a role is required"),
		Entry("unknown", subcommands.ExitUsageError, "a role is required", "broker"),
		Entry("with faults", subcommands.ExitUsageError, "--max-loading=0: a whole number from 1 to 10000",
			"controller", "--instance", "a", "--region", "r", "--failure-domain", "d",
			"--table-address", "127.0.0.1:1", "--cloud-address", "127.0.0.1:2", "--max-loading", "0"),
		Entry("valid", subcommands.ExitSuccess, "--instance=a (SYCAMORE_INSTANCE)",
			"controller", "--instance", "a", "--region", "r", "--failure-domain", "d",
			"--table-address", "127.0.0.1:1", "--cloud-address", "127.0.0.1:2"),
	)
})
