package prefix

// Holder is the number of an upstream in an Index; 0 is none. A number is never
// used again: an upstream that lost its cache gets a new one, so that what the
// Index has under the old number no longer counts.
type Holder uint32
