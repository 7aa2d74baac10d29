package logs_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/edge/logs"
)

func TestLogs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logs")
}

var _ = Describe("New", func() {
	It("writes one line of key=value pairs", func() {
		var out bytes.Buffer
		log := logs.New(&out, zerolog.InfoLevel)
		log.Info().Str("key", "a b").Int("n", 3).Str("e", "two\nlines").Msg("started")
		Expect(out.String()).To(MatchRegexp(`^time=\S+ level=info event=started e="two\\nlines" key="a b" n=3\n$`))
	})
})
