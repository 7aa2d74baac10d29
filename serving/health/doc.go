// Package health takes replicas that fail out of the choice, and lets them back
// slowly.
package health
