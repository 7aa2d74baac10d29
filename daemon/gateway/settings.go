package gateway

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/settings"
)

// Role is the name of the role in logs, dumps and the list of processes.
const Role = "gateway"

// Settings are the settings of a gateway.
type Settings struct {
	// Instance is the name of this entry instance.
	Instance string
	// Region is the region of the failure domain.
	Region string
	// FailureDomain is the failure domain of the instance.
	FailureDomain string
	// ListenAddress is where callers are served.
	ListenAddress string
	// PublicAddress is the address that callers are told to use. If empty,
	// Open sets it to the address listened on.
	PublicAddress string
	// AdminAddress is where health, metrics and the state dump are served.
	AdminAddress string
	// TableAddress is the address of the table service. If empty,
	// non-idempotent requests are refused.
	TableAddress string
	// LinkAddress is where links from other processes are accepted. If empty,
	// there are no links.
	LinkAddress string
	// Peers are the link addresses of other controllers and gateways.
	Peers []string
	// CertificateFile is the certificate of this process.
	CertificateFile string
	// KeyFile is the private key of the certificate.
	KeyFile string
	// AuthorityFile is the certificate of the authority that signs the
	// certificates of all processes.
	AuthorityFile string
	// MaxRequests limits the requests kept, including ended ones.
	MaxRequests int
	// MaxAttempts limits the attempts of one request.
	MaxAttempts int
	// Retention is how long an ended answer is kept.
	Retention time.Duration
	// ResumeGrace is how long an idempotent request continues without a
	// caller.
	ResumeGrace time.Duration
	// AttemptWindow limits the time from recording an attempt to sending its
	// first byte. It must be the same at all gateways.
	AttemptWindow time.Duration
	// TableTimeout limits a call of the table service.
	TableTimeout time.Duration
	// ProbeInterval is the time between two reads of an upstream's load. It is
	// longer if that would take more than five reads a second.
	ProbeInterval time.Duration
	// AddressKeep is how long callers may cache the list of addresses.
	AddressKeep time.Duration
	// DrainTimeout limits the length of a graceful shutdown.
	DrainTimeout time.Duration
	// LeaveDelay is how long a gateway that is shutting down keeps answering
	// callers that have cached its address.
	LeaveDelay time.Duration
	// Policy is the name of the routing policy. If empty, the default applies.
	Policy string
	// LogLevel is the lowest level that is logged.
	LogLevel string
}

// Declare declares the settings.
func (s *Settings) Declare(set *settings.Set) {
	set.Text(&s.Instance, "instance", "", "the name of this entry instance", true)
	set.Text(&s.Region, "region", "", "the region of the failure domain", true)
	set.Text(&s.FailureDomain, "failure-domain", "", "the failure domain of this instance", true)
	set.Address(&s.ListenAddress, "listen-address", "127.0.0.1:0", "where callers are served", true)
	set.Address(&s.PublicAddress, "public-address", "", "what callers are told to use; empty: the address listened on", false)
	set.Address(&s.AdminAddress, "admin-address", "127.0.0.1:0", "where health, metrics and the dump are served", true)
	set.Address(&s.TableAddress, "table-address", "", "the table service; empty: non-idempotent requests are refused", false)
	set.Address(&s.LinkAddress, "link-address", "127.0.0.1:0", "where links from other processes are taken", true)
	set.Addresses(&s.Peers, "peers", "", "link addresses of other processes", false)
	set.File(&s.CertificateFile, "certificate-file", "", "the certificate of this process", true)
	set.File(&s.KeyFile, "key-file", "", "the private key of the certificate", true)
	set.File(&s.AuthorityFile, "authority-file", "", "the authority that signs all processes' certificates", true)
	set.Int(&s.MaxRequests, "max-requests", 4096, "requests kept, ended ones included", 16, 1<<20)
	set.Int(&s.MaxAttempts, "max-attempts", 4, "attempts of one request", 1, 16)
	set.Duration(&s.Retention, "retention", time.Minute, "how long an ended answer is kept", time.Second, time.Hour)
	set.Duration(&s.ResumeGrace, "resume-grace", 10*time.Second, "how long an idempotent request goes on without a caller", 0, time.Hour)
	set.Duration(&s.AttemptWindow, "attempt-window", 5*time.Second, "the time from the record of an attempt to its first byte; the same at all gateways", time.Second, time.Minute)
	set.Duration(&s.TableTimeout, "table-timeout", time.Second, "the limit of a call of the table service", 10*time.Millisecond, time.Minute)
	set.Duration(&s.ProbeInterval, "probe-interval", time.Second, "the least time between two reads of an upstream's load; five reads a second at most", 50*time.Millisecond, time.Minute)
	set.Duration(&s.AddressKeep, "address-keep", 10*time.Second, "how long callers may keep the list of addresses", time.Second, time.Hour)
	set.Duration(&s.DrainTimeout, "drain-timeout", time.Minute, "the limit of a graceful shutdown", time.Second, time.Hour)
	set.Duration(&s.LeaveDelay, "leave-delay", 10*time.Second, "how long a stopping gateway still answers callers that keep its address", 0, time.Hour)
	// A gateway that closed earlier would cut off callers that still use a cached
	// list of addresses.
	set.NotBelow(&s.LeaveDelay, "leave-delay", &s.AddressKeep, "address-keep")
	set.Text(&s.Policy, "policy", "", "how upstreams are chosen; empty: the default policy", false)
	set.OneOf(&s.LogLevel, "log-level", "info", "the least level that is logged", "debug", "info", "warn", "error")
}
