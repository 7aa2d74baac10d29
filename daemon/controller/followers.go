package controller

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// followers passes configurations on to the other processes and learns which
// versions they have. Each call returns at once.
type followers interface {
	// PublishConfiguration passes a confirmed configuration on.
	PublishConfiguration(c *intent.Configuration)
	// AskVersions asks for the versions that the processes have.
	AskVersions()
}
