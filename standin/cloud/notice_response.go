package cloud

// NoticeResponse is the response to POST /standin/notice.
type NoticeResponse struct {
	// InstanceIDs are the instances that end, sorted.
	InstanceIDs []string `json:"instance_ids"`
}
