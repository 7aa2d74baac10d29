package cloud

// priceList is the response to a request for the prices.
type priceList struct {
	Offers []Offer `json:"offers"`
}
