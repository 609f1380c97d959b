// Package pcg implements a permuted congruential generator with 64 bits of state (PCG-XSH-RR), and a hash that replaces
// it where all proxies must get the same number.
package pcg

// Rand is a random number generator. Its value is its state, and initially the seed. It is not safe for concurrent use.
type Rand uint64

// Constants of the linear congruential generator, from the reference implementation of PCG.
const (
	multiplier = 6364136223846793005
	increment  = 1442695040888963407
)

// Float64 returns the next number between 0 and 1, both excluded.
func (s *Rand) Float64() float64 {
	*s = *s*multiplier + increment
	shifted := uint32((*s>>18 ^ *s) >> 27)
	rotation := uint(*s >> 59)
	return (float64(shifted>>rotation|shifted<<(-rotation&31)) + 0.5) / (1 << 32)
}

// HashFloat64 returns a number between 0 and 1, both excluded, that depends on two keys only.
func HashFloat64(a, b uint64) float64 { return (float64(mix(a^mix(b))>>12) + 0.5) / (1 << 52) }

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
