package controller

import (
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// alone is followers and publisher for a controller without links.
type alone struct{}

// PublishConfiguration implements followers.
func (alone) PublishConfiguration(*intent.Configuration) {}

// AskVersions implements followers.
func (alone) AskVersions() {}

// PublishFleet implements publisher.
func (alone) PublishFleet(uint64, []fleet.Instance, []string) {}
