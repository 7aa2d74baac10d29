package controller

// Platform is what a controller works on.
type Platform struct {
	// Table is the table service.
	Table Table
	// Cloud is the cloud API.
	Cloud Cloud
	// Engines are the model engines.
	Engines Engines
}
