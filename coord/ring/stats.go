package ring

// Stats is a snapshot of a ring.
type Stats struct {
	// Name is the name of the ring.
	Name string `json:"name"`
	// Depth is the number of values waiting.
	Depth int `json:"depth"`
	// Reserved is the number of free slots set aside by Reserve.
	Reserved int `json:"reserved"`
	// Capacity is the number of slots.
	Capacity int `json:"capacity"`
	// Peak is the largest depth since the ring was made.
	Peak int `json:"peak"`
	// Offered is the number of values accepted since the ring was made.
	Offered uint64 `json:"offered"`
	// Refused is the number of offers and reservations that failed because the ring
	// was full.
	Refused uint64 `json:"refused"`
}
