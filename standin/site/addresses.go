package site

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// Addresses are the addresses of a site.
type Addresses struct {
	// Table is that of the table service.
	Table string `json:"table"`
	// Objects is that of the object store.
	Objects string `json:"objects"`
	// Cloud is that of the cloud.
	Cloud string `json:"cloud"`
	// Weights is that of the weight store.
	Weights string `json:"weights"`
	// Engines are those of the engines at the start.
	Engines []string `json:"engines"`
	// Services are those of the plain services at the start.
	Services []string `json:"services"`
	// Instances are the instances at the start.
	Instances []fleet.Instance `json:"instances"`
}
