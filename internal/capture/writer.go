package capture

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	maxQueuedChunks = 64 // in the writer's queue; calls are dropped while it is full
	minDumpInterval = 10 * time.Second
)

// chunk holds blocks of one kind that the recorder passes to the writer: the states of all pools, with which a segment
// begins, or a block of calls.
type chunk struct {
	kind          uint8
	startsSegment bool
	bodies        [][]byte // body of each block, not compressed yet
	missed        uint64   // number of calls missing before the segment that the chunk starts
}

// writer compresses chunks and writes them to files, or keeps the newest segments in memory. It runs in a goroutine of
// its own, so that the recorder never waits for the disk.
type writer struct {
	chunks   chan chunk // closed to end the goroutine
	triggers chan string
	done     chan struct{} // closed when the goroutine has ended

	enabled      atomic.Bool // whether the capture is on
	failed       atomic.Bool
	writtenBytes atomic.Int64

	head Head // template for the heads of files: the fields that differ between files are not set
	log  logrus.FieldLogger

	mu         sync.Mutex // guards the fields below
	part       int        // number of the newest segment and of its file, from 1; 0: none yet
	compressor *compressor
	files      segmentFiles
	ring       ring
}

func newWriter(o Options, layoutNumber uint64) *writer {
	w := &writer{
		chunks:     make(chan chunk, maxQueuedChunks),
		triggers:   make(chan string, 1),
		done:       make(chan struct{}),
		head:       Head{Format: formatVersion, Program: o.Program, StateLayout: layoutNumber, Proxy: o.Proxy},
		log:        o.Log,
		compressor: newCompressor(),
		files:      segmentFiles{dir: o.Dir, proxy: o.Proxy, maxBytes: o.MaxTotalBytes},
		ring:       ring{maxBytes: o.RingBytes},
	}
	w.enabled.Store(o.StartOn)
	return w
}

func (w *writer) run() {
	defer close(w.done)
	var lastDump time.Time
	for {
		select {
		case c, ok := <-w.chunks:
			if !ok {
				return
			}
			if err := w.write(c); err != nil {
				w.fail(err)
			}
		case reason := <-w.triggers:
			if w.ring.maxBytes == 0 || time.Since(lastDump) < minDumpInterval {
				continue
			}
			lastDump = time.Now()
			w.dumpAndLog(reason)
		}
	}
}

// fail ends the capture. The proxy goes on without it.
func (w *writer) fail(err error) {
	w.enabled.Store(false)
	if !w.failed.Swap(true) && w.log != nil {
		w.log.WithError(err).Error("the capture has ended")
	}
}

func (w *writer) write(c chunk) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed.Load() {
		return nil
	}
	out, err := w.encode(c)
	if err != nil {
		return err
	}
	w.writtenBytes.Add(int64(len(out)))
	if w.ring.maxBytes > 0 {
		w.ring.add(out, c.startsSegment)
		return nil
	}
	if c.startsSegment {
		if err := w.files.create(w.part); err != nil {
			return err
		}
	}
	return w.files.write(out)
}

// encode returns a chunk's encoded blocks. For a chunk that starts a segment, it increments part, and the blocks begin
// with the head of the file.
func (w *writer) encode(c chunk) ([]byte, error) {
	var out []byte
	if c.startsSegment {
		w.part++
		head := w.head
		head.Began, head.Part, head.Missing = time.Now().UTC(), w.part, c.missed
		text, err := json.Marshal(head)
		if err != nil {
			return nil, err
		}
		out = appendBlock([]byte(magic), blockHead, text)
		if c.missed > 0 && w.part > 1 {
			out = appendBlock(out, blockGap, binary.AppendUvarint(nil, c.missed))
		}
	}
	for _, body := range c.bodies {
		compressed, err := w.compressor.compress(body)
		if err != nil {
			return nil, err
		}
		out = appendBlock(out, c.kind, compressed)
	}
	return out, nil
}

func (w *writer) dumpAndLog(reason string) {
	segments, err := w.dump()
	if w.log != nil {
		w.log.WithError(err).WithFields(logrus.Fields{"why": reason, "segments": segments}).Warn("captured")
	}
}

// dump writes the segments in memory to files and returns how many it wrote.
func (w *writer) dump() (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.files.dir == "" {
		return 0, errors.New("capture: no folder to write to")
	}
	written := 0
	firstPart := w.part - len(w.ring.segments) + 1
	for i, segment := range w.ring.segments {
		if len(segment) == 0 {
			continue
		}
		if err := w.files.save(firstPart+i, segment); err != nil {
			return written, err
		}
		written++
	}
	return written, w.files.trim()
}

// close waits until all chunks are written. No more chunks may be passed to the writer.
func (w *writer) close() error {
	close(w.chunks)
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.files.close()
}

// compressor compresses the bodies of blocks, one at a time.
type compressor struct{ deflate *flate.Writer }

func newCompressor() *compressor {
	deflate, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // NewWriter returns an error only for an invalid level
	}
	return &compressor{deflate}
}

func (c *compressor) compress(body []byte) ([]byte, error) {
	var out bytes.Buffer
	c.deflate.Reset(&out)
	if _, err := c.deflate.Write(body); err != nil {
		return nil, err
	}
	if err := c.deflate.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
