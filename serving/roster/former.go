package roster

// Former is what a gateway knows of upstreams from before the store was restored from an older
// copy, which may have them as ready.
type Former struct {
	// Leaving are upstreams that were leaving.
	Leaving []Incarnation `cbor:"1,keyasint,omitempty"`
	// Departed are upstreams whose entries had ended, and of which no change has been seen
	// since.
	Departed []Incarnation `cbor:"2,keyasint,omitempty"`
}
