package measure

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc: 100 ticks a second.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used.
type Usage struct {
	// Processor is the processor time, of user and system.
	Processor time.Duration
	// ResidentBytes is the memory in use.
	ResidentBytes int64
	// Threads is the number of threads.
	Threads int
}

// UsageOf reads what a process has used so far.
func UsageOf(pid int) (Usage, error) {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return Usage{}, err
	}
	// The fields follow the name of the program, which is in parentheses.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField, threadsField, residentField = 11, 12, 17, 21
	ticks := number(fields[userField]) + number(fields[systemField])
	return Usage{
		Processor:     time.Duration(ticks) * clockTick,
		ResidentBytes: number(fields[residentField]) * int64(os.Getpagesize()),
		Threads:       int(number(fields[threadsField])),
	}, nil
}

func number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
