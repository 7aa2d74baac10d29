package cloud

// prices is the body of the list of prices.
type prices struct {
	Offers []Offer `json:"offers"`
}
