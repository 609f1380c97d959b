package capture

import (
	"encoding/binary"
	"math"
	"math/bits"
)

// coder encodes calls or, if decoding is set, decodes them. Each method takes a pointer and serves both directions, so
// that they cannot diverge. A time is encoded as the difference between its IEEE 754 bit pattern and that of the
// previous call's time, which is small for close times. Other floats are encoded with their bytes reversed, so that
// round numbers take few bytes.
type coder struct {
	decoding bool
	out      []byte
	in       []byte
	lastTime uint64 // bit pattern of the previous call's time, see math.Float64bits
	corrupt  bool   // the input is truncated or malformed
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

// take removes the next size bytes from the input and returns them. If fewer are left, it returns nil and sets corrupt.
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

// callTime encodes or decodes the time of a call. Later times are encoded relative to it, until the next call.
func (c *coder) callTime(t *float64) {
	c.time(t)
	c.lastTime = math.Float64bits(*t)
}

func (c *coder) time(t *float64) {
	delta := zigzag(int64(math.Float64bits(*t) - c.lastTime))
	c.uint(&delta)
	*t = math.Float64frombits(c.lastTime + uint64(unzigzag(delta)))
}

func (c *coder) float(f *float64) {
	n := bits.ReverseBytes64(math.Float64bits(*f))
	c.uint(&n)
	*f = math.Float64frombits(bits.ReverseBytes64(n))
}

// length encodes or decodes the length of a list. Every element takes at least one byte, so a decoded length that
// exceeds the remaining input is corrupt. The check limits the memory that is allocated for a list.
func (c *coder) length(n int) int {
	coded := uint64(n)
	c.uint(&coded)
	if c.decoding && coded > uint64(len(c.in)) {
		c.corrupt = true
		return 0
	}
	return int(coded)
}

// codeList encodes or decodes a list. An empty list is decoded as nil.
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
