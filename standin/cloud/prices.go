package cloud

// Prices is the response to GET /v1/prices.
type Prices struct {
	// Offers are all kinds of instances.
	Offers []Offer `json:"offers"`
}
