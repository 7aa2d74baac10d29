package plan

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// Plan is what an intent would change and cost. It takes effect only when it is
// confirmed, and is immutable.
type Plan struct {
	// ID identifies the plan: the day of Created and the first digits of Digest.
	ID string `json:"id"`
	// Digest is the SHA-256 of the plan's JSON with empty ID and Digest, in
	// hexadecimal.
	Digest string `json:"digest"`
	// Base is the version of the configuration that the plan was made against.
	Base uint64 `json:"base_version"`
	// Created is when the plan was made, by the controller's clock.
	Created time.Time `json:"created"`
	// Expires is the time after which the plan can't be confirmed.
	Expires time.Time `json:"expires"`
	// Document is the new intent of the member.
	Document intent.Document `json:"document"`
	// TotalMicrosPerHour is the agreed limit of what all members together spend
	// an hour.
	TotalMicrosPerHour intent.Micros `json:"agreed_total_micros_per_hour"`
	// Changes lists what confirming would change.
	Changes []Change `json:"changes"`
	// Costs holds the cost of each member, in the order of the members' names.
	Costs []Cost `json:"costs"`
	// Pools holds the wanted placement of each of the member's pools.
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
