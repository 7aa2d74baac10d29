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

// engineDialers is the number of threads that establish connections to engines. One
// that does not answer occupies a thread for a second.
const engineDialers = 8

// Open makes a controller that uses the services named in the settings, and
// starts its servers.
func Open(s *Settings, log zerolog.Logger, release string) (*Controller, error) {
	services, err := openClient("platform client", httpc.Config{Name: "platform-http"})
	if err != nil {
		return nil, err
	}
	// Engines have a client of their own, so that those that do not answer delay no
	// call to the platform.
	engines, err := openClient("engine client", httpc.Config{Name: "engine-http", Dialers: engineDialers})
	if err != nil {
		services.Close()
		return nil, err
	}
	tables := table.New(table.Config{Address: s.TableAddress}, services)
	clouds := &cloudClient{client: cloud.New(cloud.Config{Address: s.CloudAddress}, services)}
	c := New(s, log, Platform{Table: tables, Cloud: clouds, Engines: orders.New(engines, engineTimeout)}, release)
	c.httpClients = []*httpc.Client{services, engines}
	if err := c.openServers(); err != nil {
		services.Close()
		engines.Close()
		return nil, err
	}
	return c, nil
}

// openClient opens an HTTP client. Part names it in the error.
func openClient(part string, config httpc.Config) (*httpc.Client, error) {
	client := httpc.New(config)
	if err := client.Open(); err != nil {
		return nil, &StartError{Part: part, Err: err}
	}
	return client, nil
}

// openServers adds the rings of the HTTP clients to the metrics and starts the servers,
// with links if a link address is configured.
func (c *Controller) openServers() error {
	for _, client := range c.httpClients {
		c.report.AddRing(client.Stats)
	}
	if c.settings.LinkAddress != "" {
		if err := c.EnableLinks(); err != nil {
			return err
		}
	}
	return c.Open()
}
