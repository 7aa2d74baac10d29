package row

// Key names a row.
type Key struct {
	// Partition groups rows that are listed together.
	Partition string
	// Sort orders the rows of a partition.
	Sort string
}

// String implements fmt.Stringer.
func (k Key) String() string {
	return k.Partition + "/" + k.Sort
}
