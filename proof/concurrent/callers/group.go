package callers

import (
	"fmt"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

// Group is a set of running callers.
type Group struct {
	callers []*caller
	threads []*thread.Thread
}

// Start starts the callers.
func Start(config Config) *Group {
	config = config.withDefaults()
	g := &Group{}
	for i := range config.Count {
		c := newCaller(config, i)
		g.callers = append(g.callers, c)
		g.threads = append(g.threads, thread.Start(fmt.Sprintf("caller-%d", i), c.run))
	}
	return g
}

// Stop lets each caller end its submission and returns all records.
func (g *Group) Stop() ([]Record, error) {
	for _, c := range g.callers {
		c.stop.Close()
	}
	return g.Wait()
}

// Wait waits until all callers have made their requests and returns all
// records.
func (g *Group) Wait() ([]Record, error) {
	var first error
	for _, t := range g.threads {
		if err := t.Join(); err != nil && first == nil {
			first = err
		}
	}
	var records []Record
	for _, c := range g.callers {
		records = append(records, c.records...)
	}
	return records, first
}
