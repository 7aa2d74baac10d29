package confirm

import (
	"fmt"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

const (
	partitionPrefix = "confirm/"
	headSort        = "head"
	versionFormat   = "version/%020d"
)

// Chain names a chain of configurations.
type Chain string

// HeadKey returns the key of the head row, which records the newest version.
func (c Chain) HeadKey() row.Key {
	return row.Key{Partition: partitionPrefix + string(c), Sort: headSort}
}

// VersionKey returns the key of the row that holds the given version.
func (c Chain) VersionKey(version uint64) row.Key {
	return row.Key{Partition: partitionPrefix + string(c), Sort: fmt.Sprintf(versionFormat, version)}
}
