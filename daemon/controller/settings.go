package controller

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/settings"
)

// Role is the name of this role in logs, dumps and lists of processes.
const Role = "controller"

// Settings are the settings of a controller.
type Settings struct {
	// Instance names the entry instance.
	Instance string
	// Region holds the failure domain.
	Region string
	// FailureDomain is that of the instance.
	FailureDomain string
	// AdminAddress serves health, metrics and the dump.
	AdminAddress string
	// OperatorsAddress serves the operators' API.
	OperatorsAddress string
	// TableAddress is the table service.
	TableAddress string
	// CloudAddress is the cloud API.
	CloudAddress string
	// LinkAddress takes links from other processes.
	LinkAddress string
	// Peers are the link addresses of other controllers and gateways.
	Peers []string
	// CertificateFile, KeyFile and AuthorityFile prove who a process is.
	CertificateFile string
	// KeyFile is the private key of the certificate.
	KeyFile string
	// AuthorityFile signs the certificates of all processes.
	AuthorityFile string
	// AgreedMicrosPerHour bounds what all members together spend an hour.
	AgreedMicrosPerHour int
	// PlanLifetime is how long a plan may be confirmed.
	PlanLifetime time.Duration
	// FleetInterval is the time between two reads of the instance list.
	FleetInterval time.Duration
	// MaxLoading bounds the engines that load weights at a time.
	MaxLoading int
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// LogLevel is the least level that is logged.
	LogLevel string
}

// Declare declares the settings.
func (s *Settings) Declare(set *settings.Set) {
	set.Text(&s.Instance, "instance", "", "the name of this entry instance", true)
	set.Text(&s.Region, "region", "", "the region of the failure domain", true)
	set.Text(&s.FailureDomain, "failure-domain", "", "the failure domain of this instance", true)
	set.Address(&s.AdminAddress, "admin-address", "127.0.0.1:0", "where health, metrics and the dump are served", true)
	set.Address(&s.OperatorsAddress, "operators-address", "127.0.0.1:0", "where the operators' API is served", true)
	set.Address(&s.TableAddress, "table-address", "", "the table service", true)
	set.Address(&s.CloudAddress, "cloud-address", "", "the cloud API", true)
	set.Address(&s.LinkAddress, "link-address", "", "where links from other processes are taken; empty: no links", false)
	set.Addresses(&s.Peers, "peers", "", "link addresses of other processes", false)
	set.File(&s.CertificateFile, "certificate-file", "", "the certificate of this process", false)
	set.File(&s.KeyFile, "key-file", "", "the private key of the certificate", false)
	set.File(&s.AuthorityFile, "authority-file", "", "the authority that signs all processes' certificates", false)
	set.Int(&s.AgreedMicrosPerHour, "agreed-micros-per-hour", 0, "what all members together may spend an hour, in millionths of the currency", 0, maxMicrosPerHour)
	set.Duration(&s.PlanLifetime, "plan-lifetime", time.Hour, "how long a plan may be confirmed", time.Second, 7*24*time.Hour)
	set.Duration(&s.FleetInterval, "fleet-interval", time.Second, "the time between two reads of the instance list", 50*time.Millisecond, time.Minute)
	set.Int(&s.MaxLoading, "max-loading", 4, "how many engines load weights at a time, under the weight store's rate limit", 1, 10000)
	set.Duration(&s.DrainTimeout, "drain-timeout", 10*time.Second, "the limit of a graceful shutdown", time.Second, time.Hour)
	set.OneOf(&s.LogLevel, "log-level", "info", "the least level that is logged", "debug", "info", "warn", "error")
}

// maxMicrosPerHour bounds the agreed amount: a thousand million units an hour.
const maxMicrosPerHour = 1_000_000_000_000_000
