// Package engine is a stand-in of a model engine. It serves completions in the
// style of the OpenAI API with continuous batching, a limited prefix cache and
// a priority queue, and it exports and imports KV cache.
//
// A token is a word. Token i of an answer is a function of the model, the
// adapter, the prompt and i, so that tests can check answers.
package engine
