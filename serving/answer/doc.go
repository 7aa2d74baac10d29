// Package answer keeps an answer as its pieces arrive.
package answer
