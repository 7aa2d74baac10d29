// Package prefix names the prefixes of prompts, so that a request can go to an
// upstream whose KV cache already holds the beginning of its prompt.
package prefix
