package capture

import (
	"bytes"
	"sync/atomic"

	"lockloom/balance"
	"lockloom/internal/graphcodec"
)

// Limits at which the buffered calls are passed to the writer.
const (
	maxChunkBytes = 32 << 10 // size of the encoded calls in the buffer
	maxChunkAge   = 0.25     // s, since the first call in the buffer
)

// Recorder records the calls on the Balancers of one owner goroutine, which makes all these calls. The methods On, Set,
// Trigger, Dump, Bytes and Handler, and the counters, may be used by any goroutine.
//
// If the writer's queue is full, calls are dropped until at most half of the queue is in use. Then a new segment
// begins, with the state of all pools.
type Recorder struct {
	Calls, Gaps atomic.Uint64 // number of calls recorded, and of gaps, in each of which calls were dropped

	writer        *writer
	waitForWriter bool // wait for the writer instead of leaving a gap
	segmentLimits segmentLimits
	rejections    rejectionTrigger

	pools     []*Balancer // by number; nil: the pool was removed by Balancer.Drop
	recording bool        // a segment is being recorded
	segment   segment
	buffer    callBuffer
	missed    uint64 // number of calls made since a chunk was last passed to the writer
}

// segmentLimits are the limits at which a segment ends.
type segmentLimits struct {
	bytes int64   // total size of the encoded calls in the segment, before compression
	age   float64 // s
}

// segment holds the start and the size of the segment that is being recorded.
type segment struct {
	beganAt float64 // s, of the balancers' clock
	bytes   int64   // total size of the encoded calls in the segment so far, before compression
}

// callBuffer holds the encoded calls that have not been passed to the writer yet.
type callBuffer struct {
	coder   coder
	beganAt float64 // s, time of the first call in the buffer
}

func (b *callBuffer) empty() bool { return len(b.coder.out) == 0 }

func (b *callBuffer) clear() { b.coder.out = b.coder.out[:0] }

// add appends an encoded call to the buffer and returns the size of the encoding in bytes.
func (b *callBuffer) add(call *Call) int {
	if b.empty() {
		b.beganAt = call.Now
		b.coder.lastTime = 0
	}
	before := len(b.coder.out)
	b.coder.call(call)
	return len(b.coder.out) - before
}

// due reports whether the buffered calls are to be passed to the writer.
func (b *callBuffer) due(now float64) bool {
	return len(b.coder.out) >= maxChunkBytes || now-b.beganAt >= maxChunkAge
}

// Set turns the capture on or off. A capture that has failed stays off.
func (r *Recorder) Set(on bool) { r.writer.enabled.Store(on && !r.writer.failed.Load()) }

// On reports whether the capture is on.
func (r *Recorder) On() bool { return r.writer.enabled.Load() }

// Bytes returns the number of bytes written so far, to files or to memory, after compression.
func (r *Recorder) Bytes() int64 { return r.writer.writtenBytes.Load() }

// Trigger asks the writer to write the segments in memory to files, and returns without waiting for it. The
// writer does so at most every 10 s and ignores triggers in between. The reason is logged.
func (r *Recorder) Trigger(reason string) {
	select {
	case r.writer.triggers <- reason:
	default: // another is pending
	}
}

// Dump writes the segments in memory to files and returns how many it wrote.
func (r *Recorder) Dump() (int, error) { return r.writer.dump() }

// Close ends the capture and must be called after the last call. Once it has returned, everything recorded is written,
// to files or to memory.
func (r *Recorder) Close() error {
	r.Flush()
	return r.writer.close()
}

// Flush passes the buffered calls to the writer. It must be called on the owner's goroutine, or after that has ended.
func (r *Recorder) Flush() {
	if r.recording {
		r.flush()
	}
}

// Balancer returns a Balancer that records the calls on the Balancer of a pool.
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

// prepare is called before each call is made, so that a segment begins with the state before its first call. It ends
// the segment if it is full or the capture is off, and begins a new one if the capture is on and none is being
// recorded.
func (r *Recorder) prepare(now float64) {
	if !r.writer.enabled.Load() {
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

// beginSegment passes the encoded state of all pools to the writer, if at most half of the writer's queue is in use.
func (r *Recorder) beginSegment(now float64) {
	if len(r.writer.chunks) > maxQueuedChunks/2 && !r.waitForWriter {
		r.missed++
		return
	}
	var states [][]byte
	for _, b := range r.pools {
		if b == nil {
			continue
		}
		encoded, err := graphcodec.Encode(b.state())
		if err != nil { // the balancer has a type that cannot be encoded
			r.writer.fail(err)
			return
		}
		states = append(states, encoded)
	}
	r.writer.chunks <- chunk{kind: blockState, startsSegment: true, bodies: states, missed: r.missed}
	r.recording = true
	r.segment = segment{beganAt: now}
	r.missed = 0
	r.buffer.clear()
}

// record appends a call and the digest of the actions that it returned to the buffer.
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

// flush passes the buffered calls to the writer. If the writer's queue is full, the calls are dropped and the segment
// ends, since waiting for a slow disk would delay all requests.
func (r *Recorder) flush() {
	if r.buffer.empty() {
		return
	}
	c := chunk{kind: blockCalls, bodies: [][]byte{bytes.Clone(r.buffer.coder.out)}}
	r.buffer.clear()
	if r.waitForWriter {
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
