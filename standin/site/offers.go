package site

import "github.com/sycamorecourse/sycamorecourse/standin/cloud"

// The prices of reclaimable instances, as percentages of the price on demand:
// that of the first failure domain and the step to each next one.
const (
	reclaimablePercent     = 32
	reclaimableStepPercent = 6
)

// offersOf returns what the cloud offers in the failure domains of a member.
func offersOf(m Member) []cloud.Offer {
	var offers []cloud.Offer
	for i, domain := range m.FailureDomains {
		percent := int64(reclaimablePercent + i*reclaimableStepPercent)
		for _, c := range classes() {
			offer := cloud.Offer{
				Region:        m.Region,
				FailureDomain: domain,
				MachineClass:  c.name,
				MicrosPerHour: c.microsPerHour,
			}
			offers = append(offers, offer)
			offer.Reclaimable = true
			offer.MicrosPerHour = c.microsPerHour * percent / 100
			offers = append(offers, offer)
		}
	}
	return offers
}
