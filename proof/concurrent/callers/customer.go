package callers

// Customer is who a caller belongs to.
type Customer struct {
	// Name is MEMBER/NAME, as the system knows it.
	Name string
	// Credential proves it.
	Credential string
}
