package rollout

import "math"

const (
	// minWorse is the least number of bad outcomes that say something.
	minWorse = 5
	// worseFactor is how much more often bad outcomes have to be with the new version.
	worseFactor = 1.5
	// evidenceLimit is the logarithm of the odds against chance from which a version is
	// worse. A sound version is found worse in fewer than one of 1,000 roll-outs, with 100
	// looks at 6 routes and two kinds of bad outcomes.
	evidenceLimit = 14.0
	// baselineErrors is the number of standard errors by which the others may be worse than
	// they have shown, and minBaseline the least rate of bad outcomes expected.
	baselineErrors = 3.0
	minBaseline    = 0.01
)

// areWorse reports whether outcomes are worse than those of a baseline beyond chance.
func areWorse(o, baseline Outcomes) bool {
	return isMoreFrequent(o.Failed, o.Ended, baseline.Failed, baseline.Ended) ||
		isMoreFrequent(o.Slow, o.Ended, baseline.Slow, baseline.Ended)
}

// isMoreFrequent reports whether bad of n outcomes are more than the rate of a baseline
// explains. By the Chernoff bound, the odds of that many are at most exp(-n D), where D
// is the relative entropy of the two rates.
func isMoreFrequent(bad, n, baselineBad, baselineN uint64) bool {
	if bad < minWorse || n == 0 || baselineN == 0 {
		return false
	}
	expected := (float64(baselineBad) + 1) / (float64(baselineN) + 2)
	expected += baselineErrors * math.Sqrt(expected*(1-expected)/(float64(baselineN)+1))
	expected = min(max(expected, minBaseline), 1)
	rate := min(float64(bad)/float64(n), 1)
	if rate <= worseFactor*expected {
		return false
	}
	return float64(n)*relativeEntropy(rate, expected) > evidenceLimit
}

// relativeEntropy returns that of two coins with the given odds, in nats.
func relativeEntropy(p, q float64) float64 {
	sum := p * math.Log(p/q)
	if p < 1 {
		sum += (1 - p) * math.Log((1-p)/(1-q))
	}
	return sum
}
