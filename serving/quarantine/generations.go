package quarantine

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// maxGenerationParts bounds each of the two generations.
const maxGenerationParts = 4096

// generations remembers when parts were last answered, within a bounded size: it
// forgets the older generation when the newer one is full.
type generations struct {
	newer, older map[uint64]clock.Instant
}

func (g *generations) put(part uint64, at clock.Instant) {
	if len(g.newer) >= maxGenerationParts {
		g.older, g.newer = g.newer, nil
	}
	if g.newer == nil {
		g.newer = make(map[uint64]clock.Instant)
	}
	g.newer[part] = at
}

// get returns when a part was last answered; never if that is not known.
func (g *generations) get(part uint64) clock.Instant {
	if at, ok := g.newer[part]; ok {
		return at
	}
	if at, ok := g.older[part]; ok {
		return at
	}
	return never
}
