package exchange

// Standing tells whether a process may use the configuration that it has, and why.
type Standing string

// Standings.
const (
	// NotRead is that of a process that has not read the configuration.
	NotRead Standing = "not_read"
	// Unquestioned is that of a configuration which is in use, or was read from a store that
	// was never restored.
	Unquestioned Standing = "unquestioned"
	// AwaitsPeers, AwaitsAnswers and AwaitsConfig are those of a process that waits: to know
	// the other gateways, for their answers, or for the configuration that they use.
	AwaitsPeers   Standing = "awaits_peers"
	AwaitsAnswers Standing = "awaits_answers"
	AwaitsConfig  Standing = "awaits_config"
	// Confirmed is that of a configuration than which the others use no newer one.
	Confirmed Standing = "confirmed"
	// NoPeers, NoAnswers and NoConfig are those of a process that has waited for long enough.
	NoPeers   Standing = "no_peers"
	NoAnswers Standing = "no_answers"
	NoConfig  Standing = "no_config"
)

// MayUse reports whether the configuration may be used.
func (s Standing) MayUse() bool {
	switch s {
	case NotRead, AwaitsPeers, AwaitsAnswers, AwaitsConfig:
		return false
	}
	return true
}
