// Package pcg is a small permuted congruential generator and the hash that stands in for it where all
// proxies must draw alike.
package pcg

// Rand is the generator; its value is its seed.
type Rand uint64

// Float64 is the next number between 0 and 1, both left out.
func (s *Rand) Float64() float64 {
	*s = *s*6364136223846793005 + 1442695040888963407
	x := uint32((*s>>18 ^ *s) >> 27)
	r := uint(*s >> 59)
	return (float64(x>>r|x<<(-r&31)) + 0.5) / (1 << 32)
}

// HashFloat64 is a number between 0 and 1, both left out, that two marks settle between them.
func HashFloat64(a, b uint64) float64 { return (float64(mix(a^mix(b))>>12) + 0.5) / (1 << 52) }

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
