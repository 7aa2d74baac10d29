package rowstore

// Row is a row, or in a feed the change of a row, as encoded on the wire. Version
// is the version of the store at the last write of the row; Removed marks a
// deletion.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

func (r Row) rowKey() rowKey {
	return rowKey{table: r.Table, part: r.Part, key: r.Key}
}
