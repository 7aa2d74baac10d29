package controller

import (
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/table"
)

// Open makes a controller on the platform that the settings name and starts its
// servers.
func Open(s *Settings, log zerolog.Logger, release string) (*Controller, error) {
	http := httpc.New(httpc.Config{Name: "platform-http"})
	if err := http.Open(); err != nil {
		return nil, &StartError{Part: "platform client", Err: err}
	}
	tables := table.New(table.Config{Address: s.TableAddress}, http)
	c := New(s, log, tables, release)
	c.platform = http
	c.report.AddRing(http.Stats)
	if err := c.Open(); err != nil {
		http.Close()
		return nil, err
	}
	return c, nil
}
