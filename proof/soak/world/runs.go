package world

import (
	"github.com/sycamorecourse/sycamorecourse/standin/duties"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
)

// Runs returns what all upstreams have run, those that are gone included.
func (w *World) Runs() ([]replica.Run, error) {
	var all []replica.Run
	for _, u := range append(append([]*Upstream{}, w.former...), w.Upstreams...) {
		runs, err := w.RunsOf(u)
		if err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}

// RunsOf returns what one upstream has run.
func (w *World) RunsOf(u *Upstream) ([]replica.Run, error) {
	var runs []replica.Run
	err := Posted(u.Replica, func() { runs = u.Replica.Runs() })
	return runs, err
}

// Reports returns the usage reports that the platform took.
func (w *World) Reports() ([]duties.UsageReport, error) {
	var all []duties.UsageReport
	err := Posted(w.Cloud, func() { all = w.Cloud.Reports() })
	return all, err
}
