package cloud

// MemberBill is the cost of the instances of a member so far.
type MemberBill struct {
	// Member names the member.
	Member string `json:"member"`
	// Micros is the cost, in millionths of the federation's currency.
	Micros int64 `json:"micros"`
	// InstanceSeconds is the sum of the running times of its instances.
	InstanceSeconds float64 `json:"instance_seconds"`
}
