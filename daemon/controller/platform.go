package controller

// Platform holds the external services that a controller uses.
type Platform struct {
	// Table is the table service.
	Table Table
	// Cloud is the cloud API.
	Cloud Cloud
	// Engines are the model engines.
	Engines Engines
}
