package row

// Row is a row as it was read.
type Row struct {
	// Key names the row.
	Key Key
	// Version is 1 after the first write and grows by 1 with each later one. It is 0
	// if the row does not exist.
	Version uint64
	// Value is the content.
	Value []byte
	// Timeline numbers the history of the table service in which the row was read. It
	// rises when the service is restored from an older copy, which takes back writes that
	// it has acknowledged. 0 means that the service does not tell.
	Timeline uint64
}
