package prefix

// Holder numbers an upstream for an Index. A number is not used again: an
// upstream that lost its cache gets a new one.
type Holder uint32
