package gateway

// identity is who a credential belongs to.
type identity struct {
	member   string
	customer string
}
