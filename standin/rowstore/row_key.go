package rowstore

// rowKey identifies a row.
type rowKey struct {
	table, part, key string
}
