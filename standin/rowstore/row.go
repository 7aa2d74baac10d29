package rowstore

// Row is a row on the wire.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

func (r Row) name() name {
	return name{table: r.Table, part: r.Part, key: r.Key}
}
