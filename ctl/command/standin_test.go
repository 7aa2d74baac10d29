package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"

	"github.com/google/subcommands"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/ctl/command"
	"github.com/sycamorecourse/sycamorecourse/standin/site"
)

var _ = Describe("Standin", func() {
	// execute runs the command with a canceled context, so that it stops as
	// soon as it is ready.
	execute := func(args ...string) (subcommands.ExitStatus, *bytes.Buffer) {
		var out bytes.Buffer
		s := &command.Standin{Output: &out}
		flags := flag.NewFlagSet("standin", flag.ContinueOnError)
		flags.SetOutput(io.Discard)
		s.SetFlags(flags)
		Expect(flags.Parse(args)).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		return s.Execute(ctx, flags), &out
	}
	addresses := func(args ...string) site.Addresses {
		status, out := execute(args...)
		Expect(status).To(Equal(subcommands.ExitSuccess))
		var a site.Addresses
		Expect(json.Unmarshal(out.Bytes(), &a)).To(Succeed())
		return a
	}

	It("prints the addresses of all stand-ins of both members", func() {
		a := addresses()
		Expect(a.Engines).To(HaveLen(9 + 12))
		Expect(a.Services).To(HaveLen(3 + 3))
		for _, address := range []string{a.Table, a.Objects, a.Cloud, a.Weights} {
			Expect(address).To(HavePrefix("127.0.0.1:"))
		}
	})

	It("runs one member with other pool sizes", func() {
		a := addresses("-member", "cooperative", "-engines", "2", "-services", "0")
		Expect(a.Engines).To(HaveLen(2))
		Expect(a.Services).To(BeEmpty())
		Expect(a.Instances).To(HaveEach(HaveField("Member", site.MemberCooperative)))
	})

	It("rejects invalid settings", func() {
		status, out := execute("-slots", "0", "-token-time", "never")
		Expect(status).To(Equal(subcommands.ExitUsageError))
		Expect(out.Len()).To(BeZero())
	})
})
