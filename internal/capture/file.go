package capture

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	magic     = "LOOMCAP1"
	format    = 1
	blockMost = 64 << 20 // bytes of one, written out
	headOf    = 9        // bytes before a block's own
	suffix    = ".loomcap"
)

// What a block holds.
const (
	blockHead  = iota + 1 // JSON: Head
	blockState            // of one pool, compressed
	blockCalls            // compressed
	blockGap              // calls that were not recorded before what follows
	blockBorn             // JSON: a pool as it was made, in place of its state; any program of the format reads it
)

// Head is what a file begins with.
type Head struct {
	Format  int       `json:"format"`
	Program string    `json:"program"` // version of the program
	Module  uint64    `json:"module"`  // the form of its decisions' state: only a program of the same form reads it
	Proxy   string    `json:"proxy"`
	Began   time.Time `json:"began"`
	Part    int       `json:"part"` // of this run, from 1
	Missing uint64    `json:"missing,omitempty"`
}

// chunk is what the recorder hands to the writer.
type chunk struct {
	kind   uint8
	begins bool // a segment
	texts  [][]byte
	missed uint64
}

// Options say where a capture goes.
type Options struct {
	Dir             string        // files are written there; empty: nowhere
	Proxy           string        // the proxy's
	Program         string        // the version
	MaxTotalBytes   int64         // bytes of all files of this proxy there; the oldest go first
	MaxSegmentBytes int64         // bytes of calls, before they are compressed, in one segment
	MaxSegmentAge   time.Duration // of a segment
	RingBytes       int64         // bytes kept in memory until Dump; 0: all goes to files at once
	StartOn         bool          // from the start
	// Rejected is the share of a second's requests whose dismissal has what is kept in memory written; 0: none has.
	RejectedShare float64
	// WaitForWriter has the one who calls wait for a slow disk, where that hurts nobody: in virtual time.
	WaitForWriter bool
	Log           logrus.FieldLogger
}

// Bounds of options that are not told.
const (
	totalUsual   = 256 << 20
	segmentUsual = 8 << 20
	ageUsual     = time.Minute
	triggerRest  = 10 * time.Second
)

// writer brings chunks to files, or keeps the newest segments in memory.
type writer struct {
	Options
	chunks chan chunk
	wanted atomic.Bool
	Failed atomic.Bool
	module uint64

	mu       sync.Mutex
	file     *os.File
	part     int
	ring     [][]byte // whole segments, the oldest first; the last goes on
	size     int64    // of them
	Bytes    atomic.Int64
	over     chan struct{}
	triggers chan string
	squeeze  *flate.Writer
}

// Open begins a capture. Nothing is recorded until it is on.
func Open(o Options) (*Recorder, error) {
	if o.MaxTotalBytes == 0 {
		o.MaxTotalBytes = totalUsual
	}
	if o.MaxSegmentBytes == 0 {
		o.MaxSegmentBytes = segmentUsual
	}
	if o.MaxSegmentAge == 0 {
		o.MaxSegmentAge = ageUsual
	}
	form, err := stateForm()
	if err != nil {
		return nil, err
	}
	if o.Dir != "" {
		if err := os.MkdirAll(o.Dir, 0o755); err != nil {
			return nil, err
		}
	}
	w := newWriter()
	w.Options, w.module = o, form
	w.wanted.Store(o.StartOn)
	r := &Recorder{to: w}
	r.segment.bytes, r.segment.age = o.MaxSegmentBytes, o.MaxSegmentAge.Seconds()
	go w.run()
	return r, nil
}

// Set turns a capture on or off; anyone may.
func (r *Recorder) Set(on bool) { r.to.wanted.Store(on && !r.to.Failed.Load()) }

// StartOn tells whether it is.
func (r *Recorder) On() bool { return r.to.wanted.Load() }

// Bytes is how much was written.
func (r *Recorder) Bytes() int64 { return r.to.Bytes.Load() }

// Trigger has what is kept in memory written, soon and not again for triggerRest; anyone may.
func (r *Recorder) Trigger(why string) {
	select {
	case r.to.triggers <- why:
	default:
	}
}

// Dump writes what is kept in memory to files, and goes on; anyone may. It tells how many segments it wrote.
func (r *Recorder) Dump() (int, error) { return r.to.dump() }

// Close ends it, once no more calls are made: all that was recorded is on the disk.
func (r *Recorder) Close() error {
	r.Flush()
	close(r.to.chunks)
	<-r.to.over
	r.to.mu.Lock()
	defer r.to.mu.Unlock()
	if r.to.file != nil {
		return r.to.file.Close()
	}
	return nil
}

func newWriter() *writer {
	w := &writer{chunks: make(chan chunk, chunksMost), over: make(chan struct{}), triggers: make(chan string, 1)}
	w.squeeze, _ = flate.NewWriter(nil, flate.BestSpeed) // the level is one there is
	return w
}

func (w *writer) run() {
	defer close(w.over)
	var last time.Time
	for {
		select {
		case c, ok := <-w.chunks:
			if !ok {
				return
			}
			w.mu.Lock()
			err := w.take(c)
			w.mu.Unlock()
			if err != nil {
				w.fail(err)
			}
		case why := <-w.triggers:
			if w.RingBytes == 0 || time.Since(last) < triggerRest {
				continue
			}
			last = time.Now()
			n, err := w.dump()
			if w.Log != nil {
				w.Log.WithError(err).WithFields(logrus.Fields{"why": why, "segments": n}).Warn("captured")
			}
		}
	}
}

// fail ends the capture, never the service.
func (w *writer) fail(err error) {
	w.wanted.Store(false)
	if !w.Failed.Swap(true) && w.Log != nil {
		w.Log.WithError(err).Error("the capture has ended")
	}
}

func (w *writer) take(c chunk) error {
	if w.Failed.Load() {
		return nil
	}
	var out []byte
	if c.begins {
		w.part++
		head, err := json.Marshal(Head{format, w.Program, w.module, w.Proxy, time.Now().UTC(), w.part, c.missed})
		if err != nil {
			return err
		}
		out = appendBlock([]byte(magic), blockHead, head)
		if c.missed > 0 && w.part > 1 {
			out = appendBlock(out, blockGap, binary.AppendUvarint(nil, c.missed))
		}
	}
	for _, text := range c.texts {
		out = appendBlock(out, c.kind, w.pack(text))
	}
	w.Bytes.Add(int64(len(out)))
	if w.RingBytes > 0 {
		return w.keep(out, c.begins)
	}
	if c.begins {
		if err := w.rotate(w.part); err != nil {
			return err
		}
	}
	if w.file == nil {
		return nil
	}
	_, err := w.file.Write(out)
	return err
}

func (w *writer) pack(text []byte) []byte {
	var b bytes.Buffer
	w.squeeze.Reset(&b)
	w.squeeze.Write(text)
	w.squeeze.Close()
	return b.Bytes()
}

// keep keeps segments in memory, whole ones, as many as there is room for.
func (w *writer) keep(out []byte, begins bool) error {
	if begins || len(w.ring) == 0 {
		w.ring = append(w.ring, nil)
	}
	last := &w.ring[len(w.ring)-1]
	*last = append(*last, out...)
	w.size += int64(len(out))
	for w.size > w.RingBytes && len(w.ring) > 1 {
		w.size -= int64(len(w.ring[0]))
		w.ring = slices.Delete(w.ring, 0, 1)
	}
	return nil
}

func (w *writer) dump() (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.Dir == "" {
		return 0, errors.New("capture: no folder to write to")
	}
	n := 0
	for i, text := range w.ring {
		if len(text) == 0 {
			continue
		}
		if err := os.WriteFile(w.path(w.part-len(w.ring)+i+1), text, 0o644); err != nil {
			return n, err
		}
		n++
	}
	return n, w.trim()
}

func (w *writer) path(part int) string {
	return filepath.Join(w.Dir, fmt.Sprintf("%s-%d-%06d%s", w.Proxy, os.Getpid(), part, suffix))
}

// rotate opens the next file, and drops the oldest while there is too much.
func (w *writer) rotate(part int) error {
	if w.file != nil {
		w.file.Close()
	}
	w.file = nil
	if err := w.trim(); err != nil {
		return err
	}
	f, err := os.OpenFile(w.path(part), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	w.file = f
	return err
}

// trim drops this proxy's oldest files while they are more than they may be.
func (w *writer) trim() error {
	list, err := Files(w.Dir)
	if err != nil {
		return err
	}
	sum := int64(0)
	for _, f := range slices.Backward(list) {
		info, err := os.Stat(f)
		if err != nil || !strings.HasPrefix(filepath.Base(f), w.Proxy+"-") {
			continue
		}
		if sum += info.Size(); sum > w.MaxTotalBytes {
			os.Remove(f)
		}
	}
	return nil
}

// Files are the captures in a folder, or the one file that is named, the oldest first.
func Files(name string) ([]string, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{name}, nil
	}
	entries, err := os.ReadDir(name)
	if err != nil {
		return nil, err
	}
	type file struct {
		name string
		at   time.Time
	}
	var list []file
	for _, e := range entries {
		if info, err := e.Info(); err == nil && strings.HasSuffix(e.Name(), suffix) {
			list = append(list, file{filepath.Join(name, e.Name()), info.ModTime()})
		}
	}
	slices.SortFunc(list, func(a, b file) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return strings.Compare(a.name, b.name)
	})
	out := make([]string, len(list))
	for i := range list {
		out[i] = list[i].name
	}
	return out, nil
}

// appendBlock writes a block: its length, a CRC-32C of kind and body, kind and body.
func appendBlock(out []byte, kind uint8, body []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(body)))
	sum := crc32.Update(crc32.Checksum([]byte{kind}, castagnoli), castagnoli, body)
	out = binary.LittleEndian.AppendUint32(out, sum)
	return append(append(out, kind), body...)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Visitor is told what a file holds, in order.
type Visitor interface {
	Head(h Head) error
	State(text []byte) error
	Created(text []byte) error
	Calls(text []byte) error
	Gap(missed uint64) error
	Broken(at int64, why string) error // a block that cannot be read is passed over
}

// Read reads a file to its last whole block. A block with a wrong sum is passed over and named; a file that ends within a block ends with the
// one before, which Broken is told too.
func Read(r io.Reader, v Visitor) error {
	var begin [len(magic)]byte
	if _, err := io.ReadFull(r, begin[:]); err != nil || string(begin[:]) != magic {
		return errors.New("it is no capture")
	}
	at := int64(len(magic))
	var head [headOf]byte
	var body []byte
	for {
		n, err := io.ReadFull(r, head[:])
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return v.Broken(at, fmt.Sprintf("it ends %d bytes into a block's head", n))
		}
		size := binary.LittleEndian.Uint32(head[:])
		if size > blockMost {
			return v.Broken(at, fmt.Sprintf("a block of %d bytes: nothing behind it can be read", size))
		}
		body, err = readUp(r, body[:0], int(size))
		if err != nil {
			return v.Broken(at, fmt.Sprintf("it ends %d bytes into a block of %d", len(body), size))
		}
		kind := head[8]
		if sum := crc32.Update(crc32.Checksum([]byte{kind}, castagnoli), castagnoli, body); sum != binary.LittleEndian.Uint32(head[4:]) {
			err = v.Broken(at, "a block's sum does not fit")
		} else {
			err = visit(v, kind, body, at)
		}
		if err != nil {
			return err
		}
		at += headOf + int64(size)
	}
}

// readUp reads so many bytes, taking memory as they come: a length may be wrong.
func readUp(r io.Reader, into []byte, n int) ([]byte, error) {
	for len(into) < n {
		more := min(n-len(into), 64<<10)
		old := len(into)
		into = append(into, make([]byte, more)...)
		got, err := io.ReadFull(r, into[old:])
		into = into[:old+got]
		if err != nil {
			return into, err
		}
	}
	return into, nil
}

func visit(v Visitor, kind uint8, body []byte, at int64) error {
	switch kind {
	case blockHead:
		var h Head
		if err := json.Unmarshal(body, &h); err != nil {
			return v.Broken(at, "its head: "+err.Error())
		}
		if h.Format != format {
			return fmt.Errorf("format %d, this program reads %d", h.Format, format)
		}
		return v.Head(h)
	case blockBorn:
		return v.Created(body)
	case blockGap:
		n, size := binary.Uvarint(body)
		if size <= 0 {
			return v.Broken(at, "a gap of no length")
		}
		return v.Gap(n)
	case blockState, blockCalls:
		text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), blockMost))
		if err != nil {
			return v.Broken(at, err.Error())
		}
		if kind == blockState {
			return v.State(text)
		}
		return v.Calls(text)
	}
	return v.Broken(at, fmt.Sprintf("a block of kind %d, which this program does not know", kind))
}
