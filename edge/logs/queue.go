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
	// queueLines is the number of lines that may wait to be written.
	queueLines = 4096
	// queueTick is how often the number of dropped lines is told.
	queueTick = time.Second
)

// Queue writes lines on a duty of its own, so that no other duty waits for the
// output. Lines that find no room are dropped and counted. It implements
// io.Writer; any thread may write.
type Queue struct {
	out     io.Writer
	inbox   *ring.Ring[[]byte]
	thread  *thread.Thread
	dropped atomic.Uint64
	told    uint64
}

// NewQueue makes a queue and starts its duty.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, inbox: ring.New[[]byte]("log", queueLines)}
	q.thread = thread.Start("log", q.run)
	return q
}

// Write implements io.Writer. It takes one line and never waits.
func (q *Queue) Write(line []byte) (int, error) {
	if q.inbox.Offer(bytes.Clone(line)) != nil {
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (q *Queue) Dropped() uint64 {
	return q.dropped.Load()
}

// Stats returns a snapshot of the queue's ring.
func (q *Queue) Stats() ring.Stats {
	return q.inbox.Stats()
}

// Close writes what waits and ends the duty.
func (q *Queue) Close() error {
	q.inbox.Close()
	return q.thread.Join()
}

func (q *Queue) run() error {
	for {
		line, ok, err := q.inbox.TakeUntil(queueTick)
		if err != nil {
			return nil
		}
		if ok {
			q.write(line)
		}
		if dropped := q.dropped.Load(); dropped != q.told {
			q.write(fmt.Appendf(nil, "time=%s level=warn event=log_lines_dropped count=%d\n",
				time.Now().Format(time.RFC3339Nano), dropped-q.told))
			q.told = dropped
		}
	}
}

// write has nobody to tell of an output that fails.
func (q *Queue) write(line []byte) {
	_, _ = q.out.Write(line)
}
