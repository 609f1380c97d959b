package capture

import (
	"bytes"
	"sync/atomic"

	"lockloom/balance"
	"lockloom/internal/graphcodec"
)

// Limits of what is gathered before the writer gets it.
const (
	maxChunkBytes = 32 << 10 // of calls
	maxChunkAge   = 0.25     // s
)

// Recorder records the calls on the Balancers of one owner. Calls are made on the owner's goroutine; the methods On,
// Set, Trigger, Dump, Bytes and Handler, and the counters, may be used by any.
//
// If the writer cannot keep up, calls are left out, and a new segment with the whole state begins as soon as it can.
type Recorder struct {
	Calls, Gaps atomic.Uint64 // calls recorded; gaps between them

	writer        *writer
	waits         bool // for the writer, instead of leaving a gap
	segmentLimits segmentLimits
	rejections    rejectionTrigger

	pools     []*Balancer // by number; nil: dropped
	recording bool        // a segment has begun
	segment   segment
	buffer    callBuffer
	missed    uint64 // calls since the last that the writer got
}

// segmentLimits are those at which a segment ends.
type segmentLimits struct {
	bytes int64   // of calls
	age   float64 // s
}

// segment is the one that is being recorded.
type segment struct {
	beganAt float64 // s, of the balancers' clock
	bytes   int64   // of calls
}

// callBuffer holds the calls that the writer does not have yet.
type callBuffer struct {
	coder   coder
	beganAt float64 // s, time of the first call
}

func (b *callBuffer) empty() bool { return len(b.coder.out) == 0 }

func (b *callBuffer) clear() { b.coder.out = b.coder.out[:0] }

// add encodes a call, and returns how many bytes it takes.
func (b *callBuffer) add(call *Call) int {
	if b.empty() {
		b.beganAt = call.Now
		b.coder.lastTime = 0
	}
	before := len(b.coder.out)
	b.coder.call(call)
	return len(b.coder.out) - before
}

// due reports whether the calls should go to the writer.
func (b *callBuffer) due(now float64) bool {
	return len(b.coder.out) >= maxChunkBytes || now-b.beganAt >= maxChunkAge
}

// Set turns the capture on or off. One that has failed stays off.
func (r *Recorder) Set(on bool) { r.writer.wanted.Store(on && !r.writer.failed.Load()) }

// On reports whether the capture is on.
func (r *Recorder) On() bool { return r.writer.wanted.Load() }

// Bytes returns how much was written, to files or to memory.
func (r *Recorder) Bytes() int64 { return r.writer.writtenBytes.Load() }

// Trigger has what is kept in memory written to files soon, and at most every 10 s. The reason is logged.
func (r *Recorder) Trigger(reason string) {
	select {
	case r.writer.triggers <- reason:
	default: // another is pending
	}
}

// Dump writes what is kept in memory to files, and returns how many segments it wrote.
func (r *Recorder) Dump() (int, error) { return r.writer.dump() }

// Close ends the capture when no more calls are made. Once it has returned, all that was recorded is in the files.
func (r *Recorder) Close() error {
	r.Flush()
	return r.writer.close()
}

// Flush passes what was recorded on to the writer. It is called on the owner's goroutine, or once that has ended.
func (r *Recorder) Flush() {
	if r.recording {
		r.flush()
	}
}

// Balancer returns a Balancer for a pool whose calls are recorded.
func (r *Recorder) Balancer(name string, b *balance.Balancer) *Balancer {
	recorded := &Balancer{
		Balancer: b,
		recorder: r,
		pool:     len(r.pools),
		name:     name,
		inFlight: map[uint64]*balance.Request{},
	}
	r.Flush()
	r.pools = append(r.pools, recorded)
	r.recording = false // the next call begins a segment that has the pool's state
	return recorded
}

// prepare is called before each call. It begins a segment if one is due, while the state is that before the call.
func (r *Recorder) prepare(now float64) {
	if !r.writer.wanted.Load() {
		r.endSegment()
		return
	}
	if r.recording && r.segmentFull(now) {
		r.endSegment()
	}
	if !r.recording {
		r.beginSegment(now)
	}
}

func (r *Recorder) segmentFull(now float64) bool {
	return r.segment.bytes >= r.segmentLimits.bytes || now-r.segment.beganAt >= r.segmentLimits.age
}

func (r *Recorder) endSegment() {
	if r.recording {
		r.flush()
		r.recording = false
	}
}

// beginSegment encodes the state of all pools, if the writer has room for it.
func (r *Recorder) beginSegment(now float64) {
	if len(r.writer.chunks) > maxQueuedChunks/2 && !r.waits {
		r.missed++
		return
	}
	var states [][]byte
	for _, b := range r.pools {
		if b == nil {
			continue
		}
		text, err := graphcodec.Write(b.state())
		if err != nil { // the balancer has a type that cannot be encoded
			r.writer.fail(err)
			return
		}
		states = append(states, text)
	}
	r.writer.chunks <- chunk{kind: blockState, startsSegment: true, texts: states, missed: r.missed}
	r.recording = true
	r.segment = segment{beganAt: now}
	r.missed = 0
	r.buffer.clear()
}

// record adds a call that was made, and the digest of what it returned.
func (r *Recorder) record(call *Call, actions *balance.Actions) {
	if !r.recording {
		return
	}
	call.Digest = Digest(actions)
	if r.rejections.observe(call, actions) {
		r.Trigger("rejections above their share")
	}
	r.segment.bytes += int64(r.buffer.add(call))
	r.Calls.Add(1)
	r.missed++
	if r.buffer.due(call.Now) {
		r.flush()
	}
}

// flush passes the calls in the buffer on to the writer. If that has no room they are lost, since waiting for a slow
// disk would stop service.
func (r *Recorder) flush() {
	if r.buffer.empty() {
		return
	}
	c := chunk{kind: blockCalls, texts: [][]byte{bytes.Clone(r.buffer.coder.out)}}
	r.buffer.clear()
	if r.waits {
		r.writer.chunks <- c
		r.missed = 0
		return
	}
	select {
	case r.writer.chunks <- c:
		r.missed = 0
	default:
		r.Gaps.Add(1)
		r.recording = false
	}
}
