package cloud

// Noticed is the answer to POST /standin/notice.
type Noticed struct {
	// InstanceIDs are the instances that will end.
	InstanceIDs []string `json:"instance_ids"`
}
