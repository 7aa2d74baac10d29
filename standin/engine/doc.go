// Package engine is a stand-in for an LLM inference engine. It serves streaming
// completions in the style of the OpenAI API with continuous batching, a
// bounded prefix cache and a priority queue, and it exports and imports the KV
// cache of a request. A token is a word. Token i of a completion is a hash of
// the model, the adapter, the prompt and i, so any engine generates the same
// completion and tests can check it.
package engine
