package limit

import "time"

// Reserve is what a gateway may use of a customer's limit beyond the use that it
// publishes with it: Amount at once, and Pace more each second.
type Reserve struct {
	Amount float64 `cbor:"1,keyasint,omitempty"`
	Pace   float64 `cbor:"2,keyasint,omitempty"`
	// ActiveIn is the time from the count until the gateway admits requests as a holder.
	// It is negative if it did so before.
	ActiveIn time.Duration `cbor:"3,keyasint,omitempty"`
	// Restart is what a process that takes the place of this one has to expect that this
	// one has used beyond the use that it last wrote to the store.
	Restart float64 `cbor:"4,keyasint,omitempty"`
}

// after returns what may have been used some time after the reserve was counted, if the
// pace goes on for a limited time.
func (r Reserve) after(age, limit time.Duration) float64 {
	return r.Amount + r.Pace*min(age, limit).Seconds()
}

// isValid reports whether the reserve could be that of a gateway.
func (r Reserve) isValid() bool {
	return isAmount(r.Amount) && isAmount(r.Pace) && isAmount(r.Restart)
}
