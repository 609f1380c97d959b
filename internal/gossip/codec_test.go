package gossip

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lockloom/balance"
)

func TestEncodeAndDecode(t *testing.T) {
	message := balance.GossipMessage{Rate: 4.5, Observations: []balance.Observation{
		{NameHash: 0xfedcba98, Class: 2, Age: 0.5, Value: 0.83},
		{NameHash: 1, Age: 0, Value: 0.61},
		{NameHash: 2, Class: 1, Age: 5.1, Value: 1},
		{NameHash: 3},
		{NameHash: 5, Class: -1, Age: 0.02, Value: 17},
	}}
	decoded, err := FromHex(ToHex(message))
	require.NoError(t, err)
	assert.Equal(t, message, decoded)
	for _, age := range []float64{0.001, 0.0201, 3} {
		message.Observations[0].Age = age
		decoded, err = Decode(Encode(message))
		require.NoError(t, err)
		assert.GreaterOrEqual(t, decoded.Observations[0].Age, age, "a decoded observation must not appear newer than it is")
	}
	data := Encode(balance.GossipMessage{Observations: make([]balance.Observation, 100)})
	assert.LessOrEqual(t, len(data), MaxBytes)
	decoded, err = Decode(data)
	require.NoError(t, err)
	assert.Len(t, decoded.Observations, MaxObservations, "observations that do not fit are omitted")
}

func TestDecodeErrors(t *testing.T) {
	good := ToHex(balance.GossipMessage{Rate: 1, Observations: []balance.Observation{{NameHash: 7}}})
	for text, want := range map[string]string{
		"":                               "gossip message of 0 bytes",
		good[:len(good)-2]:               "gossip message of 9 bytes",
		"0g":                             "gossip message: encoding/hex",
		"02" + good[2:]:                  "gossip message of version 2, not 1",
		strings.Repeat("01", MaxBytes+1): "gossip message of 257 bytes",
	} {
		_, err := FromHex(text)
		assert.ErrorContains(t, err, want)
	}
}

// Guards against values out of range that are decoded from arbitrary bytes.
func TestDecodedValuesAreWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bytes := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "bytes")
		message, _ := Decode(append([]byte{formatVersion}, bytes...))
		for _, observation := range message.Observations {
			maxValue := 1.0
			if observation.Class < 0 {
				maxValue = 255
			}
			valueInBounds := observation.Value >= 0 && observation.Value <= maxValue
			if !valueInBounds || observation.Age < 0 || observation.Class < -1 {
				t.Fatalf("out of bounds: %+v", observation)
			}
		}
	})
}
