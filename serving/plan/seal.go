package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// idDigits is the number of hexadecimal digits of the digest in a plan's ID.
const idDigits = 24

// seal sets the digest and the ID.
func (p *Plan) seal() error {
	digest, err := p.digest()
	if err != nil {
		return err
	}
	p.Digest = digest
	p.ID = p.idOf(digest)
	return nil
}

// digest computes the digest of the plan as it is.
func (p *Plan) digest() (string, error) {
	unsealed := *p
	unsealed.ID, unsealed.Digest = "", ""
	text, err := json.Marshal(unsealed)
	if err != nil {
		return "", &EncodeError{Err: err}
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]), nil
}

// isSealed reports whether the plan is as it was made.
func (p *Plan) isSealed() bool {
	digest, err := p.digest()
	return err == nil && digest == p.Digest && p.idOf(digest) == p.ID
}

// idOf returns the ID for a digest: the day of the plan and part of the digest.
func (p *Plan) idOf(digest string) string {
	return p.Created.Format(dayLayout) + "-" + digest[:idDigits]
}

// dayLayout is how an ID begins.
const dayLayout = "20060102"

// DayOf returns the day of a plan by its ID; empty if that is no ID.
func DayOf(id string) string {
	if len(id) != len(dayLayout)+1+idDigits || id[len(dayLayout)] != '-' {
		return ""
	}
	return id[:len(dayLayout)]
}

// Day returns the day of the plans made at a time.
func Day(t time.Time) string {
	return t.UTC().Format(dayLayout)
}
