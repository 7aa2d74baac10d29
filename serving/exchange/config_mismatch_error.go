package exchange

import "strconv"

// ConfigMismatchError reports a configuration that another gateway has handed over under the
// version of another one.
type ConfigMismatchError struct {
	// Told is the version that the gateway has told, and Found that of the configuration.
	Told, Found uint64
}

// Error implements error.
func (e *ConfigMismatchError) Error() string {
	return "the configuration told as version " + strconv.FormatUint(e.Told, 10) + " is version " + strconv.FormatUint(e.Found, 10)
}
