package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// logf writes one line with the seconds since the start of the case.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	if len(format) > 6 && format[:6] == "RESULT" {
		fmt.Print(line)
	}
}

func (r *record) close() { _ = r.file.Close() }
