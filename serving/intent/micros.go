package intent

import "strconv"

// Micros is an amount of money in millionths of a unit of the federation's
// currency.
type Micros int64

// MicrosPerUnit is the number of Micros in one unit of the currency.
const MicrosPerUnit Micros = 1_000_000

// String implements fmt.Stringer. It returns units with six decimals.
func (m Micros) String() string {
	return strconv.FormatFloat(float64(m)/float64(MicrosPerUnit), 'f', 6, 64)
}
