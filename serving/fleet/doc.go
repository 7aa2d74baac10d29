// Package fleet describes the instances of the cloud as the system knows them.
package fleet
