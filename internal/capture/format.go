package capture

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"
)

// The form of a file, see docs/formats/capture.md.
const (
	magic           = "LOOMCAP1"
	formatVersion   = 1
	maxBlockBytes   = 64 << 20 // of a body, also after decompression
	blockHeadBytes  = 9        // length, checksum and kind
	checksumOffset  = 4        // in a block's head
	blockKindOffset = 8        // in a block's head
	fileSuffix      = ".loomcap"
)

// Kinds of blocks.
const (
	blockHead     = iota + 1 // JSON: Head
	blockState               // a pool's state, compressed
	blockCalls               // calls, compressed
	blockGap                 // how many calls are missing before what follows
	blockCreation            // JSON: creation, in place of a state; any program of the format reads it
)

// Head is what a file begins with.
type Head struct {
	Format  int       `json:"format"`
	Program string    `json:"program"` // its version
	Module  uint64    `json:"module"`  // the form of state blocks: only a program of the same form reads them
	Proxy   string    `json:"proxy"`
	Began   time.Time `json:"began"`
	Part    int       `json:"part"` // number of the file in this run, from 1
	Missing uint64    `json:"missing,omitempty"`
}

// errNotACapture is the error of Read for a file that does not begin as one.
var errNotACapture = errors.New("it is no capture")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum is that of a block: CRC-32C of kind and body.
func checksum(kind uint8, body []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{kind}, castagnoli), castagnoli, body)
}

// appendBlock encodes a block: length of the body, checksum, kind, body.
func appendBlock(out []byte, kind uint8, body []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(body)))
	out = binary.LittleEndian.AppendUint32(out, checksum(kind, body))
	out = append(out, kind)
	return append(out, body...)
}
