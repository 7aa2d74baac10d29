package controller

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// alone is followers for a controller without links.
type alone struct{}

// PublishConfiguration implements followers.
func (alone) PublishConfiguration(*intent.Configuration) {}

// AskVersions implements followers.
func (alone) AskVersions() {}
