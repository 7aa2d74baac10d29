package logs_test

import (
	"bytes"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/logs"
)

// blockedOutput blocks the first Write until free delivers a value.
type blockedOutput struct {
	free *ring.Ring[bool]
	out  bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	if b.free != nil {
		_, _ = b.free.Take()
		b.free = nil
	}
	return b.out.Write(p)
}

var _ = Describe("AsyncWriter", func() {
	It("writes all lines in order", func() {
		var out bytes.Buffer
		w := logs.NewAsyncWriter(&out)
		log := logs.New(w, zerolog.InfoLevel)
		for i := range 100 {
			log.Info().Int("n", i).Msg("line")
		}
		Expect(w.Close()).To(Succeed())
		Expect(strings.Count(out.String(), "\n")).To(Equal(100))
		Expect(out.String()).To(HaveSuffix("n=99\n"))
	})

	It("does not wait for a blocked output, and reports the number of dropped lines", func() {
		out := &blockedOutput{free: ring.New[bool]("free", 1)}
		free := out.free
		w := logs.NewAsyncWriter(out)
		start := time.Now()
		for range 6000 {
			_, err := w.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
		Expect(w.Dropped()).To(BeNumerically(">", 0))
		Expect(free.Offer(true)).To(Succeed())
		time.Sleep(10 * time.Millisecond)
		Expect(w.Close()).To(Succeed())
		Expect(out.out.String()).To(ContainSubstring("event=log_lines_dropped"))
	})
})
