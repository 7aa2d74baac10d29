// Package usage counts the requests of each customer in windows of true time and
// gathers the counts of all processes into one report for each window.
package usage
