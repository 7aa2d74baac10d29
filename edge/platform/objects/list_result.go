package objects

// listResult is the response to a list request: one page.
type listResult struct {
	IsTruncated           bool   `xml:"IsTruncated"`
	NextContinuationToken string `xml:"NextContinuationToken"`
	Contents              []Info `xml:"Contents"`
}
