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

// Head returns the key of the row that holds the newest version.
func (c Chain) Head() row.Key {
	return row.Key{Partition: partitionPrefix + string(c), Sort: headSort}
}

// Version returns the key of the row of one version.
func (c Chain) Version(version uint64) row.Key {
	return row.Key{Partition: partitionPrefix + string(c), Sort: fmt.Sprintf(versionFormat, version)}
}
