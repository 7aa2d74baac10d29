// Package intent describes what a member wants served, and checks it.
package intent
