package measure

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/proof/bed"
	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/process"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// Site is a stand-in of the platform, a controller and a gateway, each a
// process of its own.
type Site struct {
	// Gateway is the process of the gateway.
	Gateway *process.Process
	// Controller is the process of the controller.
	Controller *process.Process
	// GatewayAddress serves callers.
	GatewayAddress string
	// Engine is the address of one of the engines.
	Engine string

	standin  *process.Process
	programs *process.Programs
	work     string
}

// OpenSite starts a site with the given number of engines and confirms an
// intent with the given number of customers.
func OpenSite(work string, engines, customers int) (*Site, error) {
	s := &Site{work: work}
	programs, err := process.Build(work)
	if err != nil {
		return nil, err
	}
	s.programs = programs
	if err := s.run("keys", "-dir", filepath.Join(work, "keys"), "-names", "entry-1"); err != nil {
		return nil, err
	}
	count := strconv.Itoa(engines)
	standin, fields, err := s.start("standin", process.Control, "standin", "-member", "noranbus", "-engines", count,
		"-services", "1", "-slots", "4096", "-queue-limit", "8192", "-token-time", "20ms", "-batch-slowdown-percent", "0",
		"-kv-tokens", "100000000")
	if err != nil {
		return nil, err
	}
	s.standin = standin
	s.Engine = fields["engines_0"]
	controller, controls, err := s.daemon("controller", fields, "", "-cloud-address", fields["cloud"],
		"-agreed-micros-per-hour", "1000000000000")
	if err != nil {
		return nil, err
	}
	s.Controller = controller
	gateway, serves, err := s.daemon("gateway", fields, controls["link"], "-leave-delay", "1s", "-address-keep", "1s", "-retention", "2s", "-max-requests", "8192")
	if err != nil {
		return nil, err
	}
	s.Gateway = gateway
	s.GatewayAddress = serves["listen"]
	return s, s.confirm(controls["operators"], engines, customers)
}

// Close ends all processes.
func (s *Site) Close() error {
	for _, p := range []*process.Process{s.Gateway, s.Controller, s.standin} {
		if err := p.Stop(0); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) start(name, program string, args ...string) (*process.Process, process.Fields, error) {
	return process.Start(name, s.programs.Path(program), filepath.Join(s.work, name+".log"), os.Environ(), args)
}

func (s *Site) daemon(role string, site process.Fields, peers string, extra ...string) (*process.Process, process.Fields, error) {
	file := func(suffix string) string { return filepath.Join(s.work, "keys", suffix) }
	args := []string{
		role, "-instance", "entry-1", "-region", "kr-seoul", "-failure-domain", "seoul-a",
		"-certificate-file", file(role + "-entry-1.crt"), "-key-file", file(role + "-entry-1.key"),
		"-authority-file", file("ca.crt"), "-table-address", site["table"], "-link-address", "127.0.0.1:0", "-peers", peers,
	}
	return s.start(role, process.Daemon, append(args, extra...)...)
}

func (s *Site) run(args ...string) error {
	out, err := exec.Command(s.programs.Path(process.Control), args...).CombinedOutput()
	if err != nil {
		return &process.BuildError{Output: string(out), Err: err}
	}
	return nil
}

// confirm makes a plan, as soon as the controller knows the prices, and
// confirms it.
func (s *Site) confirm(operators string, engines, customers int) error {
	file := filepath.Join(s.work, "intent.json")
	document, err := json.Marshal(siteIntent(engines, customers))
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, document, 0o600); err != nil {
		return err
	}
	for {
		out, err := exec.Command(s.programs.Path(process.Control), "plan", "-controllers", operators, "-f", file).CombinedOutput()
		if err != nil && strings.Contains(string(out), "prices") {
			_, _, _ = ring.New[bool]("pause", 1).TakeUntil(100 * time.Millisecond)
			continue
		}
		if err != nil {
			return &process.BuildError{Output: string(out), Err: err}
		}
		plan := strings.Fields(string(out))[1]
		return s.run("confirm", "-controllers", operators, "-timeout", "60s", plan)
	}
}

func siteIntent(engines, customers int) *intent.Document {
	d := bed.Configuration(4096).Documents[0]
	domains := []string{"seoul-a", "seoul-b", "seoul-c"}
	d.Budget.MicrosPerHour = 1_000_000_000_000
	for i := range d.Pools {
		d.Pools[i].FailureDomains = domains
		d.Pools[i].ReclaimableShare = 1
		d.Pools[i].MachineClasses = []string{"general"}
		d.Pools[i].Replicas = 1
	}
	d.Pools[0].MachineClasses = []string{"accelerator-large"}
	d.Pools[0].Replicas = engines
	d.Models[0].FirstTokenMillis = 60_000
	for i := range customers {
		c := d.Customers[0]
		c.Name = fmt.Sprintf("customer-%d", i)
		c.CredentialSHA256 = fmt.Sprintf("%064x", i+1)
		d.Customers = append(d.Customers, c)
	}
	return &d
}
