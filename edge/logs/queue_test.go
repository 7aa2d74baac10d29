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

// stuck is an output that waits until it is freed.
type stuck struct {
	free *ring.Ring[bool]
	out  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	if s.free != nil {
		_, _ = s.free.Take()
		s.free = nil
	}
	return s.out.Write(p)
}

var _ = Describe("Queue", func() {
	It("writes all lines in order", func() {
		var out bytes.Buffer
		q := logs.NewQueue(&out)
		log := logs.New(q, zerolog.InfoLevel)
		for i := range 100 {
			log.Info().Int("n", i).Msg("line")
		}
		Expect(q.Close()).To(Succeed())
		Expect(strings.Count(out.String(), "\n")).To(Equal(100))
		Expect(out.String()).To(HaveSuffix("n=99\n"))
	})

	It("does not wait for an output that is stuck, and says how much was dropped", func() {
		out := &stuck{free: ring.New[bool]("free", 1)}
		free := out.free
		q := logs.NewQueue(out)
		start := time.Now()
		for range 6000 {
			_, err := q.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
		Expect(q.Dropped()).To(BeNumerically(">", 0))
		Expect(free.Offer(true)).To(Succeed())
		time.Sleep(10 * time.Millisecond)
		Expect(q.Close()).To(Succeed())
		Expect(out.out.String()).To(ContainSubstring("event=log_lines_dropped"))
	})
})
