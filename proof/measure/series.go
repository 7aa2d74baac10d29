package measure

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxMicros is the largest time that a Series tells apart, in microseconds.
const maxMicros = 60_000_000

// Series gathers samples.
type Series struct {
	first *hdrhistogram.Histogram
	whole *hdrhistogram.Histogram
}

// NewSeries makes an empty series.
func NewSeries() *Series {
	return &Series{first: hdrhistogram.New(1, maxMicros, 3), whole: hdrhistogram.New(1, maxMicros, 3)}
}

// Add adds a sample.
func (s *Series) Add(v Sample) {
	// Values over the limit are left out.
	_ = s.first.RecordValue(v.First.Microseconds())
	_ = s.whole.RecordValue(v.Whole.Microseconds())
}

// String implements fmt.Stringer.
func (s *Series) String() string {
	return fmt.Sprintf("first token %s, whole answer %s, n=%d", quantiles(s.first), quantiles(s.whole), s.first.TotalCount())
}

func quantiles(h *hdrhistogram.Histogram) string {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return fmt.Sprintf("p50 %v p99 %v", at(50), at(99))
}
