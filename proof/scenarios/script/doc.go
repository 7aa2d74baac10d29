// Package script holds the commands of scenarios, one file for each family.
package script
