// Package command holds the commands of sycamorectl.
package command
