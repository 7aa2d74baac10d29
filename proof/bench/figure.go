package bench

import (
	"fmt"
	"math"
)

// Figure is a measure over several seeds.
type Figure struct {
	// Mean and Deviation are the mean and the standard deviation.
	Mean, Deviation float64
}

func figure(results []*Result, value func(*Result) float64) Figure {
	n := float64(len(results))
	var f Figure
	for _, r := range results {
		f.Mean += value(r) / n
	}
	for _, r := range results {
		d := value(r) - f.Mean
		f.Deviation += d * d / n
	}
	f.Deviation = math.Sqrt(f.Deviation)
	return f
}

func (f Figure) text(decimals int) string {
	return fmt.Sprintf("%.*f±%.*f", decimals, f.Mean, decimals, f.Deviation)
}
