package gossip

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"

	"lockloom/balance"
)

// MaxBytes is the maximum length of a message that the platform delivers.
const MaxBytes = 256

// MaxObservations is the maximum number of observations in a message.
const MaxObservations = (MaxBytes - headerBytes) / observationBytes

const (
	formatVersion    = 1
	headerBytes      = 3
	observationBytes = 7
	loadReportClass  = 255 // encoded instead of a class if the observation is a load report

	rateUnitsPerRequest = 16  // rates are encoded in sixteenths of a request per second
	ageUnitsPerSecond   = 50  // ages are encoded in units of 20 ms
	payoffUnits         = 100 // payoffs, from 0 to 1, are encoded in hundredths
)

// Encode encodes a message. Observations beyond MaxObservations are omitted.
func Encode(message balance.GossipMessage) []byte {
	rate := uint16(clamp(message.Rate*rateUnitsPerRequest, math.MaxUint16))
	data := binary.BigEndian.AppendUint16([]byte{formatVersion}, rate)
	count := min(len(message.Observations), MaxObservations)
	for _, observation := range message.Observations[:count] {
		data = appendObservation(data, observation)
	}
	return data
}

// appendObservation encodes an observation, with its age rounded up so that it never appears newer than it is.
func appendObservation(data []byte, observation balance.Observation) []byte {
	class, value := byte(loadReportClass), observation.Value
	if observation.Class >= 0 {
		class = byte(clamp(float64(observation.Class), loadReportClass-1))
		value = clamp(observation.Value, 1) * payoffUnits
	}
	age := byte(clamp(math.Ceil(observation.Age*ageUnitsPerSecond), math.MaxUint8))
	data = binary.BigEndian.AppendUint32(data, observation.NameHash)
	return append(data, class, age, byte(clamp(value+0.5, math.MaxUint8)))
}

// Decode decodes a message. It returns an error if its length or version is not valid.
func Decode(data []byte) (balance.GossipMessage, error) {
	switch {
	case len(data) < headerBytes || len(data) > MaxBytes || (len(data)-headerBytes)%observationBytes != 0:
		return balance.GossipMessage{}, fmt.Errorf("gossip message of %d bytes, want %d plus a multiple of %d, at most %d",
			len(data), headerBytes, observationBytes, MaxBytes)
	case data[0] != formatVersion:
		return balance.GossipMessage{}, fmt.Errorf("gossip message of version %d, not %d", data[0], formatVersion)
	}
	message := balance.GossipMessage{Rate: float64(binary.BigEndian.Uint16(data[1:])) / rateUnitsPerRequest}
	for rest := data[headerBytes:]; len(rest) > 0; rest = rest[observationBytes:] {
		message.Observations = append(message.Observations, decodeObservation(rest))
	}
	return message, nil
}

func decodeObservation(data []byte) balance.Observation {
	observation := balance.Observation{
		NameHash: binary.BigEndian.Uint32(data),
		Class:    int(data[4]),
		Age:      float64(data[5]) / ageUnitsPerSecond,
		Value:    float64(data[6]),
	}
	if observation.Class == loadReportClass {
		observation.Class = -1
	} else {
		observation.Value = min(observation.Value/payoffUnits, 1)
	}
	return observation
}

// ToHex encodes a message as Encode does and returns it in hexadecimal digits.
func ToHex(message balance.GossipMessage) string { return hex.EncodeToString(Encode(message)) }

// FromHex decodes a message in the format of ToHex.
func FromHex(text string) (balance.GossipMessage, error) {
	data, err := hex.DecodeString(text)
	if err != nil {
		return balance.GossipMessage{}, fmt.Errorf("gossip message: %w", err)
	}
	return Decode(data)
}

// clamp limits x to the range from 0 to limit; NaN becomes 0.
func clamp(x, limit float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, limit)
}
