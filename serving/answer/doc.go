// Package answer accumulates the text of a generated answer from its numbered
// pieces.
package answer
