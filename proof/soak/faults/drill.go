package faults

import (
	"fmt"

	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
)

// drillChance is one in how many draws adds a drill, unless one is going on.
const drillChance = 8

// drawDrill draws whether the store is restored from an older copy.
func (d *Driver) drawDrill() {
	if d.drills.IntN(drillChance) > 0 {
		return
	}
	next := drawDrill(d.drills)
	if d.now < d.drillEnd {
		return
	}
	d.drillEnd = d.now + next.Away
	d.add(0, fmt.Sprintf("drill %+v", next), func() error {
		return world.Posted(d.world.Store, func() { d.world.Store.StartDrill(next) })
	})
}
