package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// idDigits is the number of hexadecimal digits of the digest in a plan's ID.
const idDigits = 24

// setDigest sets the digest and the ID of a plan that is otherwise complete.
func (p *Plan) setDigest() error {
	digest, err := p.computeDigest()
	if err != nil {
		return err
	}
	p.Digest = digest
	p.ID = p.idOf(digest)
	return nil
}

// computeDigest returns the digest of the present content.
func (p *Plan) computeDigest() (string, error) {
	undigested := *p
	undigested.ID, undigested.Digest = "", ""
	text, err := json.Marshal(undigested)
	if err != nil {
		return "", &EncodeError{Err: err}
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]), nil
}

// matchesDigest reports whether the digest and the ID match the content, so that
// the plan has not been altered since setDigest.
func (p *Plan) matchesDigest() bool {
	digest, err := p.computeDigest()
	return err == nil && digest == p.Digest && p.idOf(digest) == p.ID
}

// idOf returns the ID for a digest: the day of the plan and part of the digest.
func (p *Plan) idOf(digest string) string {
	return p.Created.Format(dayLayout) + "-" + digest[:idDigits]
}

// dayLayout is the format of the day at the beginning of an ID.
const dayLayout = "20060102"

// DayOf returns the day at the beginning of a plan's ID, or "" if id doesn't have
// the form of one.
func DayOf(id string) string {
	if len(id) != len(dayLayout)+1+idDigits || id[len(dayLayout)] != '-' {
		return ""
	}
	return id[:len(dayLayout)]
}

// Day returns the day at the beginning of the IDs of plans made at time t.
func Day(t time.Time) string {
	return t.UTC().Format(dayLayout)
}
