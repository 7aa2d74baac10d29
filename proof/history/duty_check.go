package history

// dutyCheck looks at all candidates of a lease at an instant of the world.
type dutyCheck struct {
	candidates map[*Node]*candidate // the last of each node
	shared     int                  // instants at which several held the lease
	idle       int                  // instants at which nobody did who could
	stranded   int                  // candidates that did not learn of the holder
}

// notShared notes whether several hold the lease. That begins with the result of a call.
func (d *dutyCheck) notShared() {
	if _, holders := d.count(); holders > 1 {
		d.shared++
	}
}

// notIdle notes whether nobody holds the lease though somebody could.
func (d *dutyCheck) notIdle() {
	if able, holders := d.count(); able > 0 && holders == 0 {
		d.idle++
	}
}

// notStranded notes the candidates that know another fencing number than that of the row.
func (d *dutyCheck) notStranded(fence uint64) {
	for _, c := range d.candidates {
		if c.mayHold() && c.lease.LastKnown().Fence != fence {
			d.stranded++
		}
	}
}

func (d *dutyCheck) count() (able, holders int) {
	for _, c := range d.candidates {
		if c.mayHold() {
			able++
		}
		if c.holds() {
			holders++
		}
	}
	return able, holders
}
