package row

// Row is a row as it was read. Version 0 means that there is no such row.
type Row struct {
	// Key names the row.
	Key Key
	// Version is 1 after the first write and one more after each later write.
	Version uint64
	// Value is the content.
	Value []byte
}
