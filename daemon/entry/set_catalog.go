package entry

import "github.com/sycamorecourse/sycamorecourse/serving/catalog"

// setCatalog is a newer configuration.
type setCatalog struct {
	catalog *catalog.Catalog
}

func (setCatalog) isDispatchMessage() {}
