package site

import (
	"hash/fnv"
	"net"
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/standin/cloud"
	"github.com/sycamorecourse/sycamorecourse/standin/engine"
	"github.com/sycamorecourse/sycamorecourse/standin/service"
)

// starter starts the stand-in on an instance. It implements cloud.Starter.
type starter struct {
	config Config
	ip     string
	loader engine.Loader
	empty  bool
}

// Start implements cloud.Starter.
func (s *starter) Start(instance fleet.Instance) (cloud.Upstream, error) {
	pool, ok := s.pool(instance)
	if !ok {
		return nil, &UnknownPoolError{Member: instance.Member, Pool: instance.Pool}
	}
	if pool.Kind == Engine {
		return s.startEngine(instance, pool)
	}
	return s.startService(instance)
}

func (s *starter) startEngine(instance fleet.Instance, pool Pool) (cloud.Upstream, error) {
	config := s.config.Engine
	config.Name = instance.ID
	config.Address = net.JoinHostPort(s.ip, "0")
	config.Seed += seedOf(instance.ID)
	config.Loader = s.loader
	if !s.empty {
		config.Models, config.Adapters = pool.Models, pool.Adapters
	}
	if config.TokenTime == 0 {
		config.TokenTime = engine.DefaultTokenTime
	}
	slowdown := slowdownOf(instance.MachineClass)
	config.TokenTime = scale(config.TokenTime, slowdown)
	config.PrefillTokenTime = scale(config.PrefillTokenTime, slowdown)
	e := engine.New(config)
	if err := e.Open(); err != nil {
		return nil, err
	}
	return &upstream{running: run(instance.ID, e), address: e.Address()}, nil
}

func (s *starter) startService(instance fleet.Instance) (cloud.Upstream, error) {
	config := s.config.Service
	config.Name = instance.ID
	config.Address = net.JoinHostPort(s.ip, "0")
	p := service.New(config)
	if err := p.Open(); err != nil {
		return nil, err
	}
	return &upstream{running: run(instance.ID, p), address: p.Address()}, nil
}

func (s *starter) pool(instance fleet.Instance) (Pool, bool) {
	for _, m := range s.config.Members {
		if m.Name != instance.Member {
			continue
		}
		for _, p := range m.Pools {
			if p.Name == instance.Pool {
				return p, true
			}
		}
	}
	return Pool{}, false
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

func seedOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
