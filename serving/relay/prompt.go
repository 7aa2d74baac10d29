package relay

// Prompt is what a model engine is to read and write.
type Prompt struct {
	// Model names the model.
	Model string
	// Tokens is the number of tokens to read.
	Tokens int
	// MaxOutput bounds the tokens to write.
	MaxOutput int
	// LikelyOutput is the caller's estimate of the tokens to write; 0 if unknown.
	LikelyOutput int
	// Parts are the parts of the prompt in order. Requests share the first ones.
	Parts []Part
}
