package relay

// PromptPart is a piece of a prompt that other prompts may contain too.
type PromptPart struct {
	// ID is a hash of the content.
	ID uint64
	// Tokens is the length.
	Tokens int
}
