package gossip

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"

	"lockloom/balance"
)

const (
	version   = 1
	headBytes = 3
	bytesEach = 7
	MaxBytes  = 256 // the longest note that a platform passes on
	perSecond = 50  // units of an age
	load      = 255 // in the place of a class
	whole     = 100 // units of a payoff of 1
	sixteenth = 16
)

// MaxObservations is how many sights a note holds.
const MaxObservations = (MaxBytes - headBytes) / bytesEach

// Encode writes a note. What does not fit in it is left out, from the end.
func Encode(n balance.GossipMessage) []byte {
	out := binary.BigEndian.AppendUint16([]byte{version}, uint16(bound(n.Rate*sixteenth, math.MaxUint16)))
	for _, s := range n.Observations[:min(len(n.Observations), MaxObservations)] {
		class, value := byte(load), s.Value
		if s.Class >= 0 {
			class, value = byte(bound(float64(s.Class), load-1)), bound(s.Value, 1)*whole
		}
		out = binary.BigEndian.AppendUint32(out, s.NameHash)
		out = append(out, class, byte(bound(math.Ceil(s.Age*perSecond), 255)), byte(bound(value+0.5, 255)))
	}
	return out
}

// Decode reads a note.
func Decode(data []byte) (balance.GossipMessage, error) {
	switch {
	case len(data) < headBytes || len(data) > MaxBytes || (len(data)-headBytes)%bytesEach != 0:
		return balance.GossipMessage{}, fmt.Errorf("note of %d bytes", len(data))
	case data[0] != version:
		return balance.GossipMessage{}, fmt.Errorf("note of version %d, not %d", data[0], version)
	}
	n := balance.GossipMessage{Rate: float64(binary.BigEndian.Uint16(data[1:])) / sixteenth}
	for rest := data[headBytes:]; len(rest) > 0; rest = rest[bytesEach:] {
		s := balance.Observation{NameHash: binary.BigEndian.Uint32(rest), Class: int(rest[4]), Age: float64(rest[5]) / perSecond,
			Value: float64(rest[6])}
		if s.Class == load {
			s.Class = -1
		} else {
			s.Value = min(s.Value/whole, 1)
		}
		n.Observations = append(n.Observations, s)
	}
	return n, nil
}

// ToHex and FromHex are the same in hex digits.
func ToHex(n balance.GossipMessage) string { return hex.EncodeToString(Encode(n)) }

func FromHex(text string) (balance.GossipMessage, error) {
	data, err := hex.DecodeString(text)
	if err != nil {
		return balance.GossipMessage{}, fmt.Errorf("note: %w", err)
	}
	return Decode(data)
}

// bound keeps x between 0 and most; no number is 0.
func bound(x, most float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, most)
}
