package bench

import "time"

// Machine is a class of instance with the speed of an upstream on it.
type Machine struct {
	// Class names it.
	Class string
	// MicrosPerHour is its price.
	MicrosPerHour int64
	// Reclaimable instances can be taken at any moment.
	Reclaimable bool
	// Slots is the number of requests batched together.
	Slots int
	// StepBase is the time of one step of an empty batch.
	StepBase time.Duration
	// StepPerRequest is added for each request that generates.
	StepPerRequest time.Duration
	// StepPerToken is added for each prompt token that is computed.
	StepPerToken time.Duration
	// StepTokens bounds the prompt tokens computed in one step.
	StepTokens int
	// CacheBlocks is the room of the prefix cache.
	CacheBlocks int
}

var largeMachine = Machine{
	Class: "large", MicrosPerHour: 2_400_000,
	Slots: 32, StepBase: 18 * time.Millisecond, StepPerRequest: 350 * time.Microsecond,
	StepPerToken: 60 * time.Microsecond, StepTokens: 512, CacheBlocks: 700,
}

var smallMachine = Machine{
	Class: "small", MicrosPerHour: 1_000_000, Reclaimable: true,
	Slots: 32, StepBase: 26 * time.Millisecond, StepPerRequest: 550 * time.Microsecond,
	StepPerToken: 110 * time.Microsecond, StepTokens: 384, CacheBlocks: 500,
}

var serviceMachine = Machine{
	Class: "plain", MicrosPerHour: 200_000, Reclaimable: true,
	Slots: 16, StepBase: 25 * time.Millisecond, StepPerRequest: 200 * time.Microsecond,
	StepTokens: 16, CacheBlocks: 1,
}
