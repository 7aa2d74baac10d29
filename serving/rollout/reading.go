package rollout

// Reading is what was read of the table of orders: all of it, or what has changed.
type Reading struct {
	// Timeline is that of the store at the time of the read; 0 if it is not known.
	Timeline uint64
	// IsList is set if the whole table was read.
	IsList bool
	// Orders are the orders read, Removed the services whose orders were removed, and
	// Invalid those whose orders can't be carried out.
	Orders           []Order
	Removed, Invalid []string
}
