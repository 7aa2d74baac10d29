package relay

// Prompt describes the work of a request to a model engine.
type Prompt struct {
	// Model names the model.
	Model string
	// Tokens is the length of the prompt.
	Tokens int
	// MaxOutput is the largest number of tokens to generate.
	MaxOutput int
	// LikelyOutput is the caller's estimate of the tokens to generate; 0 if
	// unknown.
	LikelyOutput int
	// Parts are the parts of the prompt in order. Requests of one session usually
	// share all parts but the last.
	Parts []PromptPart
}
