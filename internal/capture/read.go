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

// readChunkBytes is the step by which the buffer for a block's body grows while it is read. The length in a corrupt
// block's head can be wrong, and must not allocate maxBlockBytes at once.
const readChunkBytes = 64 << 10

// Visitor receives the blocks of a file, in order. Read stops at the first error that a method returns.
type Visitor interface {
	Head(head Head) error
	State(data []byte) error   // receives the encoded state of one pool
	Created(data []byte) error // receives the JSON of the parameters with which a pool was created
	Calls(data []byte) error   // receives encoded calls
	// Gap receives the minimum number of calls that are missing before the next block.
	Gap(missed uint64) error
	// Damaged receives the offset in the file of a block that cannot be read and is skipped, and the reason.
	Damaged(offset int64, reason string) error
}

// blockReader reads a file block by block.
type blockReader struct {
	in     io.Reader
	offset int64 // position of the next block in the file
	head   [blockHeadBytes]byte
	body   []byte
}

// damageError is the error for a block after which the rest of the file cannot be read.
type damageError struct{ reason string }

func (d *damageError) Error() string { return d.reason }

// Read reads a file to its last complete block and passes each block to the Visitor. A block with a wrong checksum is
// skipped and reported to Damaged. The end of a file that ends within a block, as after a crash, is reported to
// Damaged, too.
func Read(r io.Reader, v Visitor) error {
	var prefix [len(magic)]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil || string(prefix[:]) != magic {
		return errNotACapture
	}
	blocks := &blockReader{in: r, offset: int64(len(magic))}
	for {
		offset := blocks.offset
		err := blocks.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		var damaged *damageError
		if errors.As(err, &damaged) {
			return v.Damaged(offset, damaged.reason)
		}
		if !blocks.intact() {
			err = v.Damaged(offset, "checksum mismatch of a block")
		} else {
			err = visit(v, blocks.kind(), blocks.body, offset)
		}
		if err != nil {
			return err
		}
	}
}

// next reads a block. It returns io.EOF at the end of the file, and a damageError if the rest of it cannot be read.
func (b *blockReader) next() error {
	n, err := io.ReadFull(b.in, b.head[:])
	if err == io.EOF {
		return io.EOF
	}
	if err != nil {
		return &damageError{fmt.Sprintf("the file ends %d bytes into the head of a block", n)}
	}
	size := binary.LittleEndian.Uint32(b.head[:])
	if size > maxBlockBytes {
		return &damageError{fmt.Sprintf("block of %d bytes is over the limit: the rest cannot be read", size)}
	}
	if err := b.readBody(int(size)); err != nil {
		return &damageError{fmt.Sprintf("the file ends %d bytes into the body of a block of %d bytes", len(b.body), size)}
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

// visit passes an intact block to the Visitor.
func visit(v Visitor, kind uint8, body []byte, offset int64) error {
	switch kind {
	case blockHead:
		return visitHead(v, body, offset)
	case blockCreation:
		return v.Created(body)
	case blockGap:
		missed, size := binary.Uvarint(body)
		if size <= 0 {
			return v.Damaged(offset, "gap block without a number of calls")
		}
		return v.Gap(missed)
	case blockState, blockCalls:
		data, err := decompress(body)
		if err != nil {
			return v.Damaged(offset, err.Error())
		}
		if kind == blockState {
			return v.State(data)
		}
		return v.Calls(data)
	}
	return v.Damaged(offset, fmt.Sprintf("block of unknown kind %d", kind))
}

func visitHead(v Visitor, body []byte, offset int64) error {
	var head Head
	if err := json.Unmarshal(body, &head); err != nil {
		return v.Damaged(offset, "malformed head of the file: "+err.Error())
	}
	if head.Format != formatVersion {
		return fmt.Errorf("capture format %d is not supported: this program reads format %d", head.Format, formatVersion)
	}
	return v.Head(head)
}

func decompress(body []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxBlockBytes))
}

// readFiles reads files in order. A returned error contains the name of the file.
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
