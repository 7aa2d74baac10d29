package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

const (
	// queueCapacity is the maximum number of lines that wait to be written.
	queueCapacity = 4096
	// dropReportInterval is the longest time until dropped lines are reported
	// while no line arrives.
	dropReportInterval = time.Second
)

// AsyncWriter writes log lines on its own thread, so that a slow output blocks no
// other thread. Lines that arrive while the queue is full are dropped and
// counted, and a log_lines_dropped line reports their number. It implements
// io.Writer, and any thread may call Write.
type AsyncWriter struct {
	out     io.Writer
	inbox   *ring.Ring[[]byte]
	thread  *thread.Thread
	dropped atomic.Uint64
	// reported is the number of dropped lines that were reported. Only the
	// writer's thread uses it.
	reported uint64
}

// NewAsyncWriter returns an AsyncWriter that writes to out, and starts its
// thread.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, inbox: ring.New[[]byte]("log", queueCapacity)}
	w.thread = thread.Start("log", w.run)
	return w
}

// Write implements io.Writer. It queues a copy of one line and never blocks or
// fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if w.inbox.Offer(bytes.Clone(line)) != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the total number of dropped lines.
func (w *AsyncWriter) Dropped() uint64 {
	return w.dropped.Load()
}

// Stats returns the statistics of the ring that queues the lines.
func (w *AsyncWriter) Stats() ring.Stats {
	return w.inbox.Stats()
}

// Close writes the queued lines and stops the thread.
func (w *AsyncWriter) Close() error {
	w.inbox.Close()
	return w.thread.Join()
}

func (w *AsyncWriter) run() error {
	for {
		line, ok, err := w.inbox.TakeUntil(dropReportInterval)
		if err != nil {
			return nil
		}
		if ok {
			w.write(line)
		}
		if dropped := w.dropped.Load(); dropped != w.reported {
			w.write(fmt.Appendf(nil, "time=%s level=warn event=log_lines_dropped count=%d\n",
				time.Now().Format(time.RFC3339Nano), dropped-w.reported))
			w.reported = dropped
		}
	}
}

// write ignores a failing output: the log itself is the only place to report it.
func (w *AsyncWriter) write(line []byte) {
	_, _ = w.out.Write(line)
}
