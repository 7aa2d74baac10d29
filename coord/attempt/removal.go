package attempt

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// Removal returns the change that deletes the row of a request whose first claim
// was made before the given wall time in seconds since 1970. It returns false if
// the row must stay. The change is conditional on the version that was read.
//
// A request that is submitted again after its row was removed runs again. The
// age must therefore exceed the time for which any caller repeats a key and any
// gateway holds a claim. A delayed insert that takes effect after the removal
// creates a row, but its claim no longer sends.
func Removal(r row.Row, createdBefore int64) (row.Change, bool) {
	record, err := DecodeRecord(r)
	if err != nil || r.Version == 0 || record.Created >= createdBefore {
		return row.Change{}, false
	}
	return row.Change{Key: r.Key, Expect: r.Version, Delete: true}, true
}
