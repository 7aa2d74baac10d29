package load

import (
	"fmt"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

// Group is a set of running callers.
type Group struct {
	callers []*caller
	threads []*thread.Thread
}

// Start starts the callers.
func Start(config Config) *Group {
	g := &Group{}
	for i := range config.Count {
		c := newCaller(config, i)
		g.callers = append(g.callers, c)
		g.threads = append(g.threads, thread.Start(fmt.Sprintf("caller-%d", i), c.run))
	}
	return g
}

// Stop lets each caller end its request and returns all records.
func (g *Group) Stop() ([]Record, error) {
	for _, c := range g.callers {
		c.stop.Close()
	}
	var records []Record
	for i, t := range g.threads {
		if err := t.Join(); err != nil {
			return nil, err
		}
		records = append(records, g.callers[i].records...)
	}
	return records, nil
}

func newStop() *ring.Ring[bool] { return ring.New[bool]("stop", 1) }
