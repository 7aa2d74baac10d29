package gateway

// identity is the federation member and the customer that a credential belongs
// to.
type identity struct {
	member   string
	customer string
}
