package controller

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/orders"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/cloud"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/table"
)

// engineTimeout bounds a call to an engine. It must be shorter than
// maxOrderDuration.
const engineTimeout = 3 * time.Second

// Open makes a controller that uses the services named in the settings, and
// starts its servers.
func Open(s *Settings, log zerolog.Logger, release string) (*Controller, error) {
	http := httpc.New(httpc.Config{Name: "platform-http"})
	if err := http.Open(); err != nil {
		return nil, &StartError{Part: "platform client", Err: err}
	}
	tables := table.New(table.Config{Address: s.TableAddress}, http)
	clouds := &cloudClient{client: cloud.New(cloud.Config{Address: s.CloudAddress}, http)}
	platform := Platform{Table: tables, Cloud: clouds, Engines: orders.New(http, engineTimeout)}
	c := New(s, log, platform, release)
	c.platformClient = http
	c.report.AddRing(http.Stats)
	if s.LinkAddress != "" {
		if err := c.EnableLinks(); err != nil {
			http.Close()
			return nil, err
		}
	}
	if err := c.Open(); err != nil {
		http.Close()
		return nil, err
	}
	return c, nil
}
