package entry

import "github.com/sycamorecourse/sycamorecourse/serving/catalog"

// setCatalog replaces the configuration with a newer one.
type setCatalog struct {
	catalog *catalog.Catalog
}

func (setCatalog) isDispatchMessage() {}
