package table

import (
	"strconv"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

// item maps names to attributes. It holds a row, or the key of a row.
type item map[string]attribute

func keyItem(k row.Key) item {
	return item{"pk": stringAttribute(k.Partition), "sk": stringAttribute(k.Sort)}
}

// rowItem encodes the row that a change writes, with the next version.
func rowItem(c row.Change) item {
	i := keyItem(c.Key)
	i["v"] = numberAttribute(c.Expect + 1)
	i["value"] = bytesAttribute(c.Value)
	return i
}

// row decodes an item. It fails with a *collect.MalformedError.
func (i item) row() (row.Row, error) {
	pk, sk, v := i["pk"].S, i["sk"].S, i["v"].N
	if pk == nil || sk == nil || v == nil {
		return row.Row{}, &collect.MalformedError{Err: &MissingAttributeError{}}
	}
	version, err := strconv.ParseUint(*v, 10, 64)
	if err != nil {
		return row.Row{}, &collect.MalformedError{Err: err}
	}
	key := row.Key{Partition: *pk, Sort: *sk}
	return row.Row{Key: key, Version: version, Value: i["value"].B}, nil
}
