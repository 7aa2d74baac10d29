package entry

import "github.com/sycamorecourse/sycamorecourse/serving/catalog"

// configFromStore is the source of a configuration that was read from the store or came by the
// news of a hub.
const configFromStore = "store"

// configCopy is a version of the configuration and where it comes from.
type configCopy struct {
	*catalog.Catalog
	// value is the configuration as the operator has written it.
	value []byte
	// timeline is that of the store in which it was read, and storeVersion the version of its
	// row there; 0 if that is not known.
	timeline, storeVersion uint64
	// source is configFromStore, or the gateway that has handed it over.
	source string
}
