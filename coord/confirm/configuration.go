package confirm

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorecourse/sycamorecourse/coord/internal/codec"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// Configuration is one confirmed version of a chain. The zero value means no
// configuration.
type Configuration struct {
	// Version is the position in the chain, from 1.
	Version uint64 `cbor:"1,keyasint"`
	// PlanID identifies the plan that was confirmed.
	PlanID string `cbor:"2,keyasint"`
	// Value is the content, which is opaque to this package.
	Value []byte `cbor:"3,keyasint"`
	// Digest covers Version, PlanID and Value. It detects corruption, but not
	// forgery: connections to peers must be authenticated.
	Digest uint64 `cbor:"4,keyasint"`
}

// newConfiguration returns the configuration that a proposal becomes if it is
// confirmed.
func newConfiguration(p Proposal) Configuration {
	c := Configuration{Version: p.Base + 1, PlanID: p.PlanID, Value: p.Value}
	c.Digest = c.digest()
	return c
}

// DecodeConfiguration decodes the configuration in the row of a version. The row
// must exist. The error is an *InvalidError.
func DecodeConfiguration(r row.Row) (Configuration, error) {
	var c Configuration
	if err := codec.Decode(r.Value, &c); err != nil {
		return Configuration{}, &InvalidError{Err: err}
	}
	if err := c.Check(); err != nil {
		return Configuration{}, err
	}
	return c, nil
}

// Check verifies the digest. The error is an *InvalidError.
func (c Configuration) Check() error {
	if c.Version == 0 || c.Digest != c.digest() {
		return &InvalidError{Version: c.Version, Err: &DigestError{Found: c.Digest, Computed: c.digest()}}
	}
	return nil
}

func (c Configuration) head() Head {
	return Head{Version: c.Version, PlanID: c.PlanID, Digest: c.Digest}
}

func (c Configuration) digest() uint64 {
	var number [8]byte
	digest := xxhash.New()
	binary.LittleEndian.PutUint64(number[:], c.Version)
	_, _ = digest.Write(number[:])
	binary.LittleEndian.PutUint64(number[:], uint64(len(c.PlanID)))
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(c.PlanID)
	_, _ = digest.Write(c.Value)
	return digest.Sum64()
}
