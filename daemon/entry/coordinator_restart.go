package entry

import "time"

// exceedsRestartReserve reports whether much of what the last written record reserves for
// a restart has been used.
func (c *coordinator) exceedsRestartReserve() bool {
	for name, spent := range c.spent {
		if spent-c.storedSpent[name] > restartReserveShare*c.stored[name].Restart {
			return true
		}
	}
	return false
}

// restartHeartbeatInterval returns the least time between two writes of this gateway's
// record while more is used than it reserves for a restart.
func (c *coordinator) restartHeartbeatInterval() time.Duration {
	return max(minRestartHeartbeat, restartHeartbeatPerGateway*time.Duration(len(c.view.ShareHolders())))
}
