package capture

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// readChunkBytes is how much memory a block's body takes at once while it is read: its length may be wrong.
const readChunkBytes = 64 << 10

// Visitor receives the blocks of a file, in order. An error of a method ends the reading.
type Visitor interface {
	Head(head Head) error
	State(text []byte) error
	Created(text []byte) error
	Calls(text []byte) error
	// Gap tells how many calls, at least, are missing here.
	Gap(missed uint64) error
	// Broken tells of a block that cannot be read, by its offset in the file. It is skipped.
	Broken(offset int64, reason string) error
}

// blockReader reads a file block by block.
type blockReader struct {
	in     io.Reader
	offset int64 // of the next block
	head   [blockHeadBytes]byte
	body   []byte
}

// damage is the error for a block, or the rest of a file, that cannot be read.
type damage struct{ reason string }

func (d *damage) Error() string { return d.reason }

// Read reads a file to its last complete block. A block with a wrong checksum is skipped, and reported to Broken. A
// file that ends within a block, as after a crash, ends with the one before, which Broken is told too.
func Read(r io.Reader, v Visitor) error {
	var begin [len(magic)]byte
	if _, err := io.ReadFull(r, begin[:]); err != nil || string(begin[:]) != magic {
		return errNotACapture
	}
	blocks := &blockReader{in: r, offset: int64(len(magic))}
	for {
		offset := blocks.offset
		err := blocks.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		var damaged *damage
		if errors.As(err, &damaged) {
			return v.Broken(offset, damaged.reason)
		}
		if !blocks.intact() {
			err = v.Broken(offset, "a block's sum does not fit")
		} else {
			err = visit(v, blocks.kind(), blocks.body, offset)
		}
		if err != nil {
			return err
		}
	}
}

// next reads a block. It returns io.EOF at the end of the file, and damage if nothing further can be read.
func (b *blockReader) next() error {
	n, err := io.ReadFull(b.in, b.head[:])
	if err == io.EOF {
		return io.EOF
	}
	if err != nil {
		return &damage{fmt.Sprintf("it ends %d bytes into a block's head", n)}
	}
	size := binary.LittleEndian.Uint32(b.head[:])
	if size > maxBlockBytes {
		return &damage{fmt.Sprintf("a block of %d bytes: nothing behind it can be read", size)}
	}
	if err := b.readBody(int(size)); err != nil {
		return &damage{fmt.Sprintf("it ends %d bytes into a block of %d", len(b.body), size)}
	}
	b.offset += blockHeadBytes + int64(size)
	return nil
}

func (b *blockReader) readBody(size int) error {
	b.body = b.body[:0]
	for len(b.body) < size {
		before := len(b.body)
		b.body = append(b.body, make([]byte, min(size-before, readChunkBytes))...)
		n, err := io.ReadFull(b.in, b.body[before:])
		b.body = b.body[:before+n]
		if err != nil {
			return err
		}
	}
	return nil
}

func (b *blockReader) kind() uint8 { return b.head[blockKindOffset] }

func (b *blockReader) intact() bool {
	return checksum(b.kind(), b.body) == binary.LittleEndian.Uint32(b.head[checksumOffset:])
}

// visit passes on an intact block.
func visit(v Visitor, kind uint8, body []byte, offset int64) error {
	switch kind {
	case blockHead:
		return visitHead(v, body, offset)
	case blockCreation:
		return v.Created(body)
	case blockGap:
		missed, size := binary.Uvarint(body)
		if size <= 0 {
			return v.Broken(offset, "a gap of no length")
		}
		return v.Gap(missed)
	case blockState, blockCalls:
		text, err := decompress(body)
		if err != nil {
			return v.Broken(offset, err.Error())
		}
		if kind == blockState {
			return v.State(text)
		}
		return v.Calls(text)
	}
	return v.Broken(offset, fmt.Sprintf("a block of kind %d, which this program does not know", kind))
}

func visitHead(v Visitor, body []byte, offset int64) error {
	var head Head
	if err := json.Unmarshal(body, &head); err != nil {
		return v.Broken(offset, "its head: "+err.Error())
	}
	if head.Format != formatVersion {
		return fmt.Errorf("format %d, this program reads %d", head.Format, formatVersion)
	}
	return v.Head(head)
}

func decompress(body []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxBlockBytes))
}

// readFiles reads files in order. An error names the file.
func readFiles(files []string, open OpenFunc, v Visitor) error {
	for _, name := range files {
		if err := readFile(name, open, v); err != nil {
			return err
		}
	}
	return nil
}

func readFile(name string, open OpenFunc, v Visitor) error {
	file, err := open(name)
	if err != nil {
		return err
	}
	readErr := Read(file, v)
	closeErr := file.Close()
	if readErr != nil {
		return fmt.Errorf("%s: %w", name, readErr)
	}
	return closeErr
}

// OpenFunc opens a file for reading.
type OpenFunc func(name string) (io.ReadCloser, error)
