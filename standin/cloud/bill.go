package cloud

// Bill is the response to GET /standin/bill.
type Bill struct {
	// Members are sorted by name.
	Members []*MemberBill `json:"members"`
}
