package entry

import "github.com/sycamorecourse/sycamorecourse/serving/cluster"

// setOwnRecord sets the record that this gateway passes on. It is passed on at once
// if it is urgent, and with the next poll otherwise.
type setOwnRecord struct {
	record   cluster.Record
	isUrgent bool
	// needsCounts is set if this gateway may have to report usage.
	needsCounts bool
}

func (setOwnRecord) isPeerMessage() {}
