package price

// List holds the offers of the cloud at one time.
type List []Offer

// Find returns the offer for a failure domain, a machine class and reclaimable
// or on-demand instances; ok is false if the cloud has none.
func (l List) Find(domain, class string, reclaimable bool) (offer Offer, ok bool) {
	for _, o := range l {
		if o.FailureDomain == domain && o.MachineClass == class && o.Reclaimable == reclaimable {
			return o, true
		}
	}
	return Offer{}, false
}
