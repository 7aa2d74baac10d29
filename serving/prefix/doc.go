// Package prefix identifies the prefixes of prompts, so that a request can be
// routed to an upstream whose KV cache already holds the beginning of its prompt.
//
// Blocks hashes a prompt in blocks of BlockTokens tokens, where each hash covers
// all earlier blocks too. An Index records which upstreams hold which blocks; it
// is bounded and approximate. Transfer predicts whether moving a KV cache between
// replicas takes less time than computing it again.
package prefix
