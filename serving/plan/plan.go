package plan

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// Plan is what an intent would change and cost. Nothing of it takes effect
// until it is confirmed. It is never changed once made.
type Plan struct {
	// ID names the plan. It is derived from Digest.
	ID string `json:"id"`
	// Digest is the SHA-256 of the plan without ID and Digest, in hexadecimal.
	Digest string `json:"digest"`
	// Base is the version of the configuration that the plan was made against.
	Base uint64 `json:"base_version"`
	// Created is the time of the plan by the controller's clock.
	Created time.Time `json:"created"`
	// Expires is the time after which the plan can't be confirmed.
	Expires time.Time `json:"expires"`
	// Document is the intent as stated.
	Document intent.Document `json:"document"`
	// TotalMicrosPerHour bounds what all members together spend an hour.
	TotalMicrosPerHour intent.Micros `json:"agreed_total_micros_per_hour"`
	// Changes lists what confirming would change.
	Changes []Change `json:"changes"`
	// Costs lists the cost of each member, in the order of their names.
	Costs []Cost `json:"costs"`
	// Pools lists the placement of the member's pools.
	Pools []PoolPlacement `json:"pools"`
}

// MicrosPerHour returns what all members together would spend an hour.
func (p *Plan) MicrosPerHour() intent.Micros {
	var sum intent.Micros
	for _, c := range p.Costs {
		sum += c.MicrosPerHour
	}
	return sum
}
