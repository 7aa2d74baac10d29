package wire_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/edge/wire"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wire")
}

var messages = []wire.Message{
	&wire.Hello{Role: "gateway", Instance: "a", Incarnation: 7},
	&spread.Heartbeat{Configuration: 3, Fleet: spread.FleetPosition{Epoch: 1, Sequence: 2}, Members: 1 << 63},
	&spread.SyncRequest{Topic: spread.TopicFleet},
	&spread.ConfigurationUpdate{Configuration: &intent.Configuration{Version: 4, Documents: []intent.Document{{
		Member: "noranbus", Pools: []intent.Pool{{Name: "route-llm", Kind: intent.Engine, ReclaimableShare: 0.5}},
	}}}},
	&spread.ConfigurationReport{Version: 4, Holders: []uint64{1, 1 << 60}},
	&spread.FleetDelta{Upserts: []fleet.Instance{{ID: "i", State: fleet.Leaving, Ends: time.Unix(1e9, 5).UTC()}}, Removed: []string{"j"}},
	&spread.FleetSnapshot{Instances: []fleet.Instance{{ID: "i"}}},
	&spread.MemberUpdate{Members: []spread.Member{{ID: "gateway/a", State: spread.Gone}}},
	&wire.HandOver{Correlation: 9, Request: request.Request{Prompt: "p"}, Pieces: []request.Piece{{Index: 1, Text: "t"}}, Attempt: []byte{1}},
	&wire.HandOverAnswer{Correlation: 9, Accepted: true},
	&wire.Payload{Name: "n", Correlation: 1, Bytes: []byte("b")},
}

// frame builds a message from a kind and an encoded body.
func frame(kind uint16, body []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	out = binary.BigEndian.AppendUint16(out, kind)
	return append(out, body...)
}

var _ = Describe("Encode and Reader", func() {
	It("carry every kind and skip unknown kinds and fields", func() {
		var stream bytes.Buffer
		for _, m := range messages {
			raw, err := wire.Encode(m)
			Expect(err).NotTo(HaveOccurred())
			stream.Write(frame(999, []byte{0xa0}))
			stream.Write(raw)
		}
		// {1: 2, 60: "x"}: a SyncRequest of a later release with an unknown field.
		stream.Write(frame(uint16(wire.KindSyncRequest), []byte{0xa2, 0x01, 0x02, 0x18, 0x3c, 0x61, 'x'}))
		r := wire.NewReader(&stream)
		for _, m := range messages {
			Expect(r.Next()).To(Equal(m))
		}
		Expect(r.Next()).To(Equal(&spread.SyncRequest{Topic: spread.TopicFleet}))
		_, err := r.Next()
		Expect(err).To(MatchError(io.EOF))
	})

	It("reject a value that is not a message", func() {
		_, err := wire.Encode("text")
		var encodeErr *wire.EncodeError
		Expect(err).To(BeAssignableToTypeOf(encodeErr))
	})
})

func TestLimits(t *testing.T) {
	nested := append(bytes.Repeat([]byte{0x81}, 40), 0x00)
	wide := make([]byte, 0, 1<<18)
	wide = append(wide, 0x9a, 0x00, 0x02, 0x00, 0x01)
	wide = append(wide, make([]byte, 1<<17+1)...)
	huge := binary.BigEndian.AppendUint32(nil, wire.MaxMessageBytes+1)
	huge = binary.BigEndian.AppendUint16(huge, 2)
	cases := map[string][]byte{
		"size":     huge,
		"nesting":  frame(2, nested),
		"elements": frame(5, append([]byte{0xa1, 0x02}, wide...)),
		"type":     frame(2, []byte{0x61, 'x'}),
		"tail":     frame(2, []byte{0xa0, 0x00}),
		"twice":    frame(2, []byte{0xa2, 0x01, 0x01, 0x01, 0x02}),
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := wire.NewReader(bytes.NewReader(raw)).Next()
			if _, ok := err.(*wire.DecodeError); !ok {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.Uint16Range(1, 12).Draw(t, "kind")
		body := rapid.SliceOf(rapid.Byte()).Draw(t, "body")
		r := wire.NewReader(bytes.NewReader(frame(kind, body)))
		for {
			if _, err := r.Next(); err != nil {
				return
			}
		}
	})
}
