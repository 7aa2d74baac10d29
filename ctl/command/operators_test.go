package command

import (
	"bytes"
	"flag"
	"net/http"
	"testing"
	"time"

	"github.com/google/subcommands"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "commands of sycamorectl")
}

// canned answers every request the same way.
type canned struct {
	status int
	body   any
}

func (c *canned) Serve(x *httpd.Exchange)      { _ = operator.Answer(x, c.status, c.body) }
func (c *canned) Disconnected(*httpd.Exchange) {}

func serve(status int, body any) string {
	server := httpd.New(httpd.Config{Address: "127.0.0.1:0"}, &canned{status: status, body: body})
	Expect(server.Open()).To(Succeed())
	DeferCleanup(server.Close)
	return server.Address()
}

func confirm(args ...string) (printable, subcommands.ExitStatus) {
	c := &Confirm{}
	flags := flag.NewFlagSet("confirm", flag.ContinueOnError)
	c.SetFlags(flags)
	Expect(flags.Parse(args)).To(Succeed())
	result, err := c.call(flags, 1, func(client *operator.Client, args []string) (printable, error) {
		confirmed, err := client.Confirm(args[0], c.operator, time.Second)
		return &confirmResult{confirmed: confirmed}, err
	})
	if err != nil {
		return nil, exitOf(err)
	}
	return result, result.exit()
}

var _ = Describe("Commands", func() {
	everywhere := operator.Confirmed{Confirmation: plan.Confirmation{Version: 7}, Everywhere: true}

	DescribeTable("exit statuses", func(status int, body any, want subcommands.ExitStatus) {
		_, got := confirm("p1", "--controllers", serve(status, body))
		Expect(got).To(Equal(want))
	},
		Entry("in force", http.StatusOK, everywhere, subcommands.ExitSuccess),
		Entry("pending", http.StatusOK, operator.Confirmed{}, ExitPending),
		Entry("conflict", http.StatusConflict, &operator.Problem{Code: operator.Stale}, ExitConflict),
		Entry("not found", http.StatusNotFound, &operator.Problem{Code: operator.NotFound}, subcommands.ExitFailure),
		Entry("table service away", http.StatusServiceUnavailable, &operator.Problem{Code: operator.Unavailable}, ExitUnreachable),
		Entry("outcome unknown", http.StatusGatewayTimeout, &operator.Problem{Code: operator.OutcomeUnknown}, ExitUnreachable),
	)

	It("tries the addresses in turn", func() {
		away := serve(http.StatusServiceUnavailable, &operator.Problem{Code: operator.Unavailable})
		_, got := confirm("--controllers", "127.0.0.1:1,"+away+","+serve(http.StatusOK, everywhere), "p1")
		Expect(got).To(Equal(subcommands.ExitSuccess))
		_, got = confirm("p1", "--controllers", "127.0.0.1:1")
		Expect(got).To(Equal(ExitUnreachable))
		_, got = confirm("--controllers", "127.0.0.1:1")
		Expect(got).To(Equal(subcommands.ExitUsageError))
	})

	It("prints what is pending", func() {
		var out bytes.Buffer
		pending := []operator.Process{{Instance: "entry-3", Role: "gateway", Version: 6}}
		Expect((&confirmResult{confirmed: &operator.Confirmed{Pending: pending}}).text(&out)).To(Succeed())
		Expect(out.String()).To(MatchRegexp(`entry-3 +gateway +6`))
	})
})
