// Package hedge decides when a second attempt is sent beside a slow first one.
package hedge
