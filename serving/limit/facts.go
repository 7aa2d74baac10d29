package limit

import "time"

// Facts are the state of a customer's limit at this gateway, for logs and dumps.
// Amounts are in the unit of the limit.
type Facts struct {
	// Ceiling is the most that may be used in a window over all gateways.
	Ceiling float64 `json:"ceiling"`
	// Used is what this gateway has used in the window, and UsedByOthers what the others
	// have published.
	Used         float64 `json:"used"`
	UsedByOthers float64 `json:"used_by_others"`
	// Unknown is what the others may have used beyond that.
	Unknown float64 `json:"unknown"`
	// Silent is the part of Unknown that is held back for gateways whose news is not current
	// any more, and SilentGateways their number: each may be cut off and use its share.
	Silent         float64 `json:"silent"`
	SilentGateways int     `json:"silent_gateways"`
	// Held lists those gateways. It is set in dumps only.
	Held []HeldShare `json:"held,omitempty"`
	// Available is what this gateway may use at present.
	Available float64 `json:"available"`
	// IsHolder is true if it admits requests by itself, and Holders is the number of
	// gateways that do.
	IsHolder bool `json:"holder"`
	Holders  int  `json:"holders"`
	// IsStandby is true if this gateway keeps to its share of the limit, since it does not
	// know what the others use.
	IsStandby bool `json:"standby"`
	// NewsAge is the time since this gateway has heard of the others.
	NewsAge time.Duration `json:"news_age_ns"`
}
