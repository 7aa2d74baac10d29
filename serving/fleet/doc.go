// Package fleet describes the instances of the cloud that the system uses.
package fleet
