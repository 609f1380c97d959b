package gossip

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"lockloom/balance"
)

func TestThereAndBack(t *testing.T) {
	n := balance.GossipMessage{Rate: 4.5, Observations: []balance.Observation{{NameHash: 0xfedcba98, Class: 2, Age: 0.5, Value: 0.83},
		{NameHash: 1, Age: 0, Value: 0.61}, {NameHash: 2, Class: 1, Age: 5.1, Value: 1}, {NameHash: 3}, {NameHash: 5, Class: -1, Age: 0.02, Value: 17}}}
	back, err := FromHex(ToHex(n))
	assert.NoError(t, err)
	assert.Equal(t, n, back)
	for _, age := range []float64{0.001, 0.0201, 3} {
		n.Observations[0].Age = age
		back, err = Decode(Encode(n))
		assert.NoError(t, err)
		assert.GreaterOrEqual(t, back.Observations[0].Age, age, "danger: what comes round would look newer than it is")
	}
	data := Encode(balance.GossipMessage{Observations: make([]balance.Observation, 100)})
	assert.LessOrEqual(t, len(data), MaxBytes)
	back, err = Decode(data)
	assert.NoError(t, err)
	assert.Len(t, back.Observations, MaxObservations, "what does not fit is left out")
}

func TestUnreadable(t *testing.T) {
	good := ToHex(balance.GossipMessage{Rate: 1, Observations: []balance.Observation{{NameHash: 7}}})
	for text, want := range map[string]string{"": "note of 0 bytes", good[:len(good)-2]: "note of 9 bytes", "0g": "note: encoding/hex",
		"02" + good[2:]: "note of version 2, not 1", strings.Repeat("01", MaxBytes+1): "note of 257 bytes"} {
		_, err := FromHex(text)
		assert.ErrorContains(t, err, want)
	}
}

// Whatever bytes come, what is read of them is within bounds.
func TestAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, _ := Decode(append([]byte{version}, rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "bytes")...))
		for _, s := range n.Observations {
			most := 1.0
			if s.Class < 0 {
				most = 255
			}
			if s.Value < 0 || s.Value > most || s.Age < 0 || s.Class < -1 {
				t.Fatalf("out of bounds: %+v", s)
			}
		}
	})
}
