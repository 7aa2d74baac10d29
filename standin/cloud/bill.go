package cloud

// Bill is the answer to GET /standin/bill.
type Bill struct {
	// Members are in the order of their names.
	Members []*MemberBill `json:"members"`
}
