// Package price holds the cloud's offers of instances and their prices.
package price
