package dispatch

// recordedPart is a piece of a recorded answer. A caller that has received some pieces from
// the gateway that answered goes on behind them at another one.
type recordedPart struct {
	Bytes  int `cbor:"1,keyasint"`
	Tokens int `cbor:"2,keyasint"`
}
