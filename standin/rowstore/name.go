package rowstore

// name names a row.
type name struct {
	table, part, key string
}
