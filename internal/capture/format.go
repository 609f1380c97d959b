package capture

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"
)

// The file format, see docs/formats/capture.md.
const (
	magic           = "LOOMCAP1"
	formatVersion   = 1
	maxBlockBytes   = 64 << 20 // limit of the size of a block's body, both compressed and decompressed
	blockHeadBytes  = 9        // length, checksum and kind
	checksumOffset  = 4        // position of the checksum in a block's head
	blockKindOffset = 8        // position of the kind in a block's head
	fileSuffix      = ".loomcap"
)

// Kinds of blocks.
const (
	blockHead     = iota + 1 // JSON: Head
	blockState               // a pool's state, compressed
	blockCalls               // calls, compressed
	blockGap                 // minimum number of calls that are missing before the next block
	blockCreation            // JSON: creation, in place of a state; readable by any program of the same format
)

// Head is the first block of a file.
type Head struct {
	Format      int       `json:"format"`
	Program     string    `json:"program"`           // version of the program that recorded the capture
	StateLayout uint64    `json:"module"`            // layout number of the state blocks: other layouts cannot be read
	Proxy       string    `json:"proxy"`             // name of the proxy
	Began       time.Time `json:"began"`             // wall-clock time
	Part        int       `json:"part"`              // number of the file in this run, from 1
	Missing     uint64    `json:"missing,omitempty"` // calls that are missing before the file
}

// errNotACapture is the error of Read for a file that does not begin with magic.
var errNotACapture = errors.New("not a capture file")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the checksum of a block: the CRC-32C of its kind and body.
func checksum(kind uint8, body []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{kind}, castagnoli), castagnoli, body)
}

// appendBlock appends an encoded block: length of the body, checksum, kind, body.
func appendBlock(out []byte, kind uint8, body []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(body)))
	out = binary.LittleEndian.AppendUint32(out, checksum(kind, body))
	out = append(out, kind)
	return append(out, body...)
}
