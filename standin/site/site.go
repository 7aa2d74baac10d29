package site

import (
	"net/netip"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	client "github.com/sycamorecourse/sycamorecourse/edge/platform/weights"
	"github.com/sycamorecourse/sycamorecourse/standin/cloud"
	"github.com/sycamorecourse/sycamorecourse/standin/objects"
	"github.com/sycamorecourse/sycamorecourse/standin/table"
	"github.com/sycamorecourse/sycamorecourse/standin/weights"
)

// The offsets of the ports from that of the table service.
const (
	offsetTable = iota
	offsetObjects
	offsetCloud
	offsetWeights
)

// Site is a running platform. One thread uses it.
type Site struct {
	config    Config
	base      netip.AddrPort
	running   []*running
	cloud     *cloud.Cloud
	starter   *starter
	addresses Addresses
}

// Start starts all stand-ins. When it fails, nothing is left running.
func Start(config Config) (*Site, error) {
	base, err := netip.ParseAddrPort(config.Address)
	if err != nil {
		return nil, &AddressError{Address: config.Address, Err: err}
	}
	s := &Site{config: config, base: base}
	s.addresses.Engines = []string{}
	s.addresses.Services = []string{}
	if err := s.start(); err != nil {
		_ = s.Stop()
		return nil, err
	}
	return s, nil
}

// Addresses returns the addresses.
func (s *Site) Addresses() Addresses { return s.addresses }

// Stop ends all stand-ins and returns the first error that ended one early.
func (s *Site) Stop() error {
	var first error
	for i := len(s.running) - 1; i >= 0; i-- {
		if err := s.running[i].stop(); err != nil && first == nil {
			first = err
		}
	}
	s.running = nil
	if s.cloud != nil {
		s.cloud.EndAll()
	}
	return first
}

func (s *Site) start() error {
	if err := s.startTable(); err != nil {
		return err
	}
	if err := s.startObjects(); err != nil {
		return err
	}
	if err := s.startWeights(); err != nil {
		return err
	}
	return s.startCloud()
}

func (s *Site) startTable() error {
	config := s.config.Table
	config.Address = s.address(offsetTable)
	t := table.New(config)
	if err := t.Open(); err != nil {
		return err
	}
	s.run("table", t)
	s.addresses.Table = t.Address()
	return nil
}

func (s *Site) startObjects() error {
	config := s.config.Objects
	config.Address = s.address(offsetObjects)
	o := objects.New(config)
	if err := o.Open(); err != nil {
		return err
	}
	s.run("objects", o)
	s.addresses.Objects = o.Address()
	return nil
}

func (s *Site) startWeights() error {
	config := s.config.Weights
	config.Address = s.address(offsetWeights)
	w := weights.New(config)
	if err := w.Open(); err != nil {
		return err
	}
	s.run("weights", w)
	s.addresses.Weights = w.Address()
	return nil
}

func (s *Site) startCloud() error {
	http := httpc.New(httpc.Config{Name: "loader"})
	if err := http.Open(); err != nil {
		return err
	}
	s.run("loader", http)
	fetch := client.New(client.Config{Address: s.addresses.Weights}, http)
	s.starter = &starter{config: s.config, ip: s.base.Addr().String(), loader: &loader{weights: fetch}}
	config := cloud.Config{
		Address:        s.address(offsetCloud),
		Starter:        s.starter,
		BootTime:       s.config.BootTime,
		ListLag:        s.config.ListLag,
		CallsPerSecond: s.config.CloudCallsPerSecond,
	}
	for _, m := range s.config.Members {
		config.Offers = append(config.Offers, offersOf(m)...)
	}
	s.cloud = cloud.New(config)
	if err := s.launch(); err != nil {
		return err
	}
	if err := s.cloud.Open(); err != nil {
		return err
	}
	s.run("cloud", s.cloud)
	s.addresses.Cloud = s.cloud.Address()
	return nil
}

// launch starts the first instances, which have their models.
func (s *Site) launch() error {
	for _, m := range s.config.Members {
		for _, p := range m.Pools {
			if err := s.launchPool(m, p); err != nil {
				return err
			}
		}
	}
	s.starter.empty = s.config.StartEmpty
	return nil
}

// launchPool spreads the instances of a pool over the failure domains.
func (s *Site) launchPool(m Member, p Pool) error {
	for i := range p.Replicas {
		instance, err := s.cloud.Launch(cloud.StartRequest{
			MachineClass:  p.MachineClass,
			FailureDomain: m.FailureDomains[i%len(m.FailureDomains)],
			Reclaimable:   i < p.Reclaimable,
			Member:        m.Name,
			Pool:          p.Name,
		})
		if err != nil {
			return err
		}
		s.addresses.Instances = append(s.addresses.Instances, instance)
		if p.Kind == Engine {
			s.addresses.Engines = append(s.addresses.Engines, instance.Address)
		} else {
			s.addresses.Services = append(s.addresses.Services, instance.Address)
		}
	}
	return nil
}

func (s *Site) run(name string, d duty) {
	s.running = append(s.running, run(name, d))
}

// address returns the address at an offset from the base; port 0 has none.
func (s *Site) address(offset uint16) string {
	port := s.base.Port()
	if port != 0 {
		port += offset
	}
	return netip.AddrPortFrom(s.base.Addr(), port).String()
}
