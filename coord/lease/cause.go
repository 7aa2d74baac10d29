package lease

// Cause tells why a candidate could acquire a lease.
type Cause string

// The causes.
const (
	// CauseAbsent means that there was no row.
	CauseAbsent Cause = "absent"
	// CauseReleased means that the former holder released the lease.
	CauseReleased Cause = "released"
	// CauseExpired means that the former holder had not renewed the lease for its TTL.
	CauseExpired Cause = "expired"
	// CauseRestored means that the table service was restored from an older copy while
	// this candidate held the lease.
	CauseRestored Cause = "restored"
	// CauseRefused means that a receiver refused the fencing number of this holder, which
	// took a higher one.
	CauseRefused Cause = "refused"
)
