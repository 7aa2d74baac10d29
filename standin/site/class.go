package site

// The machine classes.
const (
	// ClassLarge is a machine with large accelerators.
	ClassLarge = "accelerator-large"
	// ClassSmall is a machine with small accelerators.
	ClassSmall = "accelerator-small"
	// ClassGeneral is a machine without accelerators.
	ClassGeneral = "general"
)

// class is a class of machines.
type class struct {
	name string
	// microsPerHour is the price on demand, in millionths of the federation's
	// currency.
	microsPerHour int64
	// slowdown multiplies the token times of an engine.
	slowdown float64
}

func classes() []class {
	return []class{
		{name: ClassLarge, microsPerHour: 2_400_000, slowdown: 1},
		{name: ClassSmall, microsPerHour: 1_100_000, slowdown: 1.6},
		{name: ClassGeneral, microsPerHour: 120_000, slowdown: 4},
	}
}

func slowdownOf(name string) float64 {
	for _, c := range classes() {
		if c.name == name {
			return c.slowdown
		}
	}
	return 1
}
