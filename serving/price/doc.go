// Package price holds what the cloud asks for instances.
package price
