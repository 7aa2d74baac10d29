// Package command holds the commands of sycamored.
package command
