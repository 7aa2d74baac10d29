package world

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/process"
	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/relay"
)

const (
	callerPort    = 7100
	readyPort     = 7101
	directoryPort = 7102
	adminPort     = 7103
	// Grace is the usual time from SIGTERM until the platform kills a process.
	Grace = 6 * time.Second
	// LimitWindow is the time over which limits are counted, and LimitSlack what all
	// gateways may admit beyond them.
	LimitWindow = 4 * time.Second
	LimitSlack  = 20
	// LeaseTTL is that of the lease of the duties, UsageWindow the length of a usage window,
	// and UsageLate how long after its end a window is reported at the latest.
	LeaseTTL    = 3 * time.Second
	UsageWindow = 2 * time.Second
	UsageLate   = 10 * time.Second
	// endPatience is the timeout for the end of a process after SIGKILL.
	endPatience = 20 * time.Second
)

// Gateway is an entry gateway, as a process that ends and is started again. One
// thread uses it; Caller, Ready and Directory may be used by any.
type Gateway struct {
	// Name is the name of the instance.
	Name string
	// Store and Callers are the relays between it and the store, and before its
	// callers.
	Store, Callers *relay.Relay

	ip       string
	settings string
	log      string
	program  string
	grace    time.Duration
	command  *exec.Cmd
	waiter   *thread.Thread
	ended    *ring.Ring[int]
	// asked is set once the current process got a signal to end.
	asked  atomic.Bool
	strays *atomic.Int64
}

// CallerAddress is where it listens for callers.
func (g *Gateway) CallerAddress() string { return fmt.Sprintf("%s:%d", g.ip, callerPort) }

// DirectoryAddress is where it answers which addresses to use.
func (g *Gateway) DirectoryAddress() string { return fmt.Sprintf("%s:%d", g.ip, directoryPort) }

// Start starts the process, if none runs.
func (g *Gateway) Start() error {
	if g.IsRunning() {
		return nil
	}
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	if err := process.Seal(); err != nil {
		return err
	}
	g.command = exec.Command(g.program, "entry")
	g.command.Env = append(os.Environ(), "SYCAMORECOURSE_NODE_FILE="+g.settings)
	g.command.Stdout, g.command.Stderr = log, log
	g.asked.Store(false)
	if err := g.command.Start(); err != nil {
		return err
	}
	g.ended = ring.New[int]("ended", 1)
	command, ended := g.command, g.ended
	g.waiter = thread.Start("wait", func() error {
		// The status tells how it ended.
		_ = command.Wait()
		if !g.asked.Load() {
			g.strays.Add(1)
		}
		return ended.Offer(command.ProcessState.ExitCode())
	})
	return nil
}

// IsRunning reports whether there is a process that has not ended.
func (g *Gateway) IsRunning() bool { return g.waiter != nil && g.waiter.IsAlive() }

// Signal sends a signal to the process, if there is one.
func (g *Gateway) Signal(signal syscall.Signal) {
	if !g.IsRunning() {
		return
	}
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		g.asked.Store(true)
	}
	// It may have ended just now.
	_ = g.command.Process.Signal(signal)
}

// End ends the process at once and waits for it.
func (g *Gateway) End() error {
	if g.waiter == nil {
		return nil
	}
	g.Signal(syscall.SIGKILL)
	if _, ok, err := g.ended.TakeUntil(endPatience); err != nil || !ok {
		return &process.NotEndedError{Name: g.Name}
	}
	return g.waiter.Join()
}

// IsReady asks the process whether it takes requests.
func (g *Gateway) IsReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", g.ip, readyPort))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// writeSettings writes the settings file of the process.
func (g *Gateway) writeSettings(cloud string) error {
	text := fmt.Sprintf(`node = %q
zone = "z"
region = "r"
ip = %q
internal_ports = [%d,%d]
[listen]
front = %q
ready = "%s:%d"
directory = %q
[limits]
memory_mb = 256
[bounds]
grace_s = %d
drain_ms = 2000
quota_window_s = %d
quota_slack = %d
config_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra = 50
lease_ms = %d
window_s = %d
usage_late_s = %d
ttl_max_s = 5
[platform]
address = %q
[cloud]
address = %q
duties = ["usage_report"]
`, g.Name, g.ip, adminPort, adminPort, g.CallerAddress(), g.ip, readyPort, g.DirectoryAddress(), int(g.grace.Seconds()), int(LimitWindow.Seconds()), LimitSlack,
		LeaseTTL.Milliseconds(), int(UsageWindow.Seconds()), int(UsageLate.Seconds()), g.Store.Address(), cloud)
	return os.WriteFile(g.settings, []byte(text), 0o644)
}

func newGateway(config Config, number int, strays *atomic.Int64) *Gateway {
	name := fmt.Sprintf("g%d", number)
	return &Gateway{
		Name:     name,
		ip:       fmt.Sprintf("127.%d.%d.%d", 20+config.Seed/250%200, 1+config.Seed%250, 1+number),
		settings: filepath.Join(config.Directory, name+".toml"),
		log:      filepath.Join(config.Directory, name+".log"),
		program:  config.Program,
		grace:    config.Grace,
		strays:   strays,
	}
}
