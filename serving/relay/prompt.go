package relay

import "github.com/sycamorecourse/sycamorecourse/serving/quarantine"

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

// sharedParts returns the parts that other prompts may contain too: all but the
// last, which belongs to the request or its session.
func (p *Prompt) sharedParts() []PromptPart {
	if p == nil || len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// quarantineParts returns the shared parts as the quarantine knows them.
func (p *Prompt) quarantineParts() []quarantine.Part {
	parts := p.sharedParts()
	list := make([]quarantine.Part, 0, len(parts))
	for i, part := range parts {
		list = append(list, quarantine.Part{ID: part.ID, Depth: i})
	}
	return list
}
