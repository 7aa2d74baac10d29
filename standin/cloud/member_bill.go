package cloud

// MemberBill is what the instances of a member have cost.
type MemberBill struct {
	// Member names the member.
	Member string `json:"member"`
	// Micros is the cost, in millionths of the federation's currency.
	Micros int64 `json:"micros"`
	// InstanceSeconds is the time for which its instances ran, added up.
	InstanceSeconds float64 `json:"instance_seconds"`
}
