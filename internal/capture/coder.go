package capture

import (
	"encoding/binary"
	"math"
	"math/bits"
)

// coder encodes calls or, if decoding, decodes them: each method takes a pointer and does either, so that the two
// directions cannot diverge. Times are coded as the distance of their bits to those of the call before, which is small
// for times that are near; other floats with their bytes reversed, so that round numbers are short.
type coder struct {
	decoding bool
	out      []byte
	in       []byte
	lastTime uint64 // bits of the last call's time
	corrupt  bool   // what was decoded is not a call
}

func (c *coder) uint(n *uint64) {
	if !c.decoding {
		c.out = binary.AppendUvarint(c.out, *n)
		return
	}
	decoded, size := binary.Uvarint(c.in)
	if size <= 0 {
		c.corrupt = true
		*n = 0
		return
	}
	c.in, *n = c.in[size:], decoded
}

// zigzag maps numbers near zero, of either sign, to small unsigned ones.
func zigzag(n int64) uint64 { return uint64(n)<<1 ^ uint64(n>>63) }

func unzigzag(n uint64) int64 { return int64(n>>1) ^ -int64(n&1) }

func (c *coder) int(n *int) {
	coded := zigzag(int64(*n))
	c.uint(&coded)
	*n = int(unzigzag(coded))
}

func (c *coder) bool(b *bool) {
	n := uint64(0)
	if *b {
		n = 1
	}
	c.uint(&n)
	*b = n == 1
}

// take returns the next bytes to decode; nil, if there are fewer.
func (c *coder) take(size int) []byte {
	if len(c.in) < size {
		c.corrupt = true
		return nil
	}
	taken := c.in[:size]
	c.in = c.in[size:]
	return taken
}

func (c *coder) fixed16(n *uint16) {
	if !c.decoding {
		c.out = binary.LittleEndian.AppendUint16(c.out, *n)
	} else if b := c.take(2); b != nil {
		*n = binary.LittleEndian.Uint16(b)
	}
}

func (c *coder) fixed32(n *uint32) {
	if !c.decoding {
		c.out = binary.LittleEndian.AppendUint32(c.out, *n)
	} else if b := c.take(4); b != nil {
		*n = binary.LittleEndian.Uint32(b)
	}
}

func (c *coder) fixed64(n *uint64) {
	if !c.decoding {
		c.out = binary.LittleEndian.AppendUint64(c.out, *n)
	} else if b := c.take(8); b != nil {
		*n = binary.LittleEndian.Uint64(b)
	}
}

// callTime codes the time of a call. Times are coded relative to it until the next.
func (c *coder) callTime(t *float64) {
	c.time(t)
	c.lastTime = math.Float64bits(*t)
}

func (c *coder) time(t *float64) {
	distance := zigzag(int64(math.Float64bits(*t) - c.lastTime))
	c.uint(&distance)
	*t = math.Float64frombits(c.lastTime + uint64(unzigzag(distance)))
}

func (c *coder) float(f *float64) {
	n := bits.ReverseBytes64(math.Float64bits(*f))
	c.uint(&n)
	*f = math.Float64frombits(bits.ReverseBytes64(n))
}

// length codes the length of a list. Every element takes a byte at least, which bounds what is decoded.
func (c *coder) length(n int) int {
	coded := uint64(n)
	c.uint(&coded)
	if c.decoding && coded > uint64(len(c.in)) {
		c.corrupt = true
		return 0
	}
	return int(coded)
}

// codeList codes a list. An empty one is decoded as nil.
func codeList[T any](c *coder, list *[]T, element func(*T)) {
	length := c.length(len(*list))
	if c.decoding {
		*list = nil
		if length > 0 {
			*list = make([]T, length)
		}
	}
	for i := range *list {
		element(&(*list)[i])
	}
}
