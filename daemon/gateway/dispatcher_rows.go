package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

func (d *dispatcher) writeRows(a *dispatch.WriteRows, now clock.Instant) {
	if err := d.inbox.Reserve(); err != nil {
		d.core.RowsWritten(a.ID, a.Serial, &row.UnavailableError{Err: err}, now)
		return
	}
	id, serial, inbox := a.ID, a.Serial, d.inbox
	d.table.Write(a.Transaction, func(err error) {
		_ = inbox.OfferReserved(rowsWritten{id: id, serial: serial, err: err})
	})
}

func (d *dispatcher) readRow(a *dispatch.ReadRow, now clock.Instant) {
	id, serial, inbox := a.ID, a.Serial, d.inbox
	if err := inbox.Reserve(); err != nil {
		d.core.RowRead(id, serial, row.Row{}, &row.UnavailableError{Err: err}, now)
		return
	}
	d.table.Read(a.Key, func(found row.Row, err error) {
		_ = inbox.OfferReserved(rowRead{id: id, serial: serial, found: found, err: err})
	})
}
