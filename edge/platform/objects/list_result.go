package objects

// listResult is one page of the answer to a list.
type listResult struct {
	IsTruncated           bool   `xml:"IsTruncated"`
	NextContinuationToken string `xml:"NextContinuationToken"`
	Contents              []Info `xml:"Contents"`
}
