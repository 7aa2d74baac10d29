package controller

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/settings"
)

// Role is the name of this role in logs, dumps and member lists.
const Role = "controller"

// Settings configures a controller.
type Settings struct {
	// Instance is the name of the entry instance.
	Instance string
	// Region is the region of the failure domain.
	Region string
	// FailureDomain is the failure domain of the instance.
	FailureDomain string
	// AdminAddress is where health, metrics and the state dump are served.
	AdminAddress string
	// OperatorsAddress is where the operators' API is served.
	OperatorsAddress string
	// TableAddress is the address of the table service.
	TableAddress string
	// CloudAddress is the address of the cloud API.
	CloudAddress string
	// LinkAddress is where links from other processes are accepted; empty disables
	// links.
	LinkAddress string
	// Peers are the link addresses of other controllers and gateways.
	Peers []string
	// CertificateFile is the certificate of this process.
	CertificateFile string
	// KeyFile is the private key of the certificate.
	KeyFile string
	// AuthorityFile is the certificate authority of all processes.
	AuthorityFile string
	// AgreedMicrosPerHour bounds the spending of all members together, in
	// millionths of the currency per hour.
	AgreedMicrosPerHour int
	// PlanLifetime is how long a plan can be confirmed after it was made.
	PlanLifetime time.Duration
	// FleetInterval is the time between two reads of the instance list.
	FleetInterval time.Duration
	// MaxLoading bounds the number of engines that load weights at a time, to
	// stay under the weight store's rate limit.
	MaxLoading int
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// LogLevel is the lowest level that is logged.
	LogLevel string
}

// Declare adds the settings to a set.
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

// maxMicrosPerHour bounds AgreedMicrosPerHour: 10^9 currency units per hour.
const maxMicrosPerHour = 1_000_000_000_000_000
