package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/recvtime"
)

const (
	writeOn   = 10 * time.Millisecond // for the rest of a request that is answered already
	wayMost   = 50 * time.Millisecond // there and back, that a repeat is sent earlier by; a connection that came up later lost something
	flowIdle  = 30 * time.Second      // of an answer that flows without a byte, or of a body that is not taken
	flowFirst = 8 * time.Millisecond  // from a large answer's head to its beginning to flow, if a byte of it has come
	flowBegin = 16 << 10              // bytes of an answer told to be large that have come when it begins to flow
	flowBytes = 16 << 10              // between reading and writing
	flowMost  = 64 << 20              // bytes that an answer may tell; more is taken for noise
	largeMost = 1 << 20               // bytes of an answer, where there is room for it; heads.Most without
)

// Exchange is one request to a server.
type Exchange struct {
	Head, Tail, Body  []byte        // written one after the other
	Deadline          time.Time     // no answer by then: it timed out
	SendBy            time.Time     // not sent where it can't be at its server by then; zero: no such bound
	ClientGone        func() bool   // whether its client has gone: it is not sent then; called by any goroutine; nil: nobody waits for it
	OnDone            func(Result)  // called once, on the owner's goroutine
	Passthrough       bool          // what a server answers goes on as it is, but for its own failures
	HeadOnly          bool          // only a head is asked for
	Upload            *Upload       // the rest of a body that is not kept; nil: Body is all
	ResponseTimeout   time.Duration // of an exchange with an Upload: from its last byte, in the place of Until
	OnResponseStarted func(Result)  // a large answer has begun and flows; called at most once, before Report, on the owner's goroutine
	off, begun        bool          // canceled; being written; under conn.mu
	flows             bool          // its answer has begun to flow; likewise
	wrote             chan struct{}
	opening           time.Duration // its connection's
	writing           time.Time     // when its writing began; under conn.mu
	sent              time.Time     // the same, or for one that opened its connection as much earlier; read after wrote is closed
	whole             bool          // its last byte is written; read after wrote is closed
	some              bool          // a byte may have gone out; likewise
	conn              *conn
}

// Result is what came of an exchange.
type Result struct {
	Outcome       balance.Outcome
	SentAt        time.Time      // when it was written, or for one that opened its connection as much earlier as that took; zero: it was not
	EndedAt       time.Time      // when the answer's end had come, or what else ended it
	Err           error          // of an answer that did not come whole
	Status        int            // of an answer; 0: none came
	Length        int            // of its body, or of the one that it would have; -1: not told
	Fields        []byte         // of an successful answer, and of any plain one: the lines that go on
	Body          []byte         // of one that has begun: its first bytes
	ReservedBytes int64          // bytes of room held for it
	Stream        *io.PipeReader // of one that has begun: the rest of its body. Who does not read it to its end closes it
}

// conn is one connection to a server. One goroutine opens it and writes, one reads; the owner hands it
// exchanges, one at a time.
type conn struct {
	pool  *Pool
	to    *backend
	era   int
	since time.Time // idle since; the owner's
	jobs  chan *Exchange

	pending func() bool   // see Pending
	way     time.Duration // there and back, as far as known

	mu   sync.Mutex
	nc   net.Conn
	ex   *Exchange // the one in work
	by   time.Time // its read deadline
	dead bool      // takes no more
}

// until sets when reading ends without a byte; the caller holds the lock.
func (c *conn) until(t time.Time) {
	c.by = t
	c.nc.SetReadDeadline(t)
}

// begin hands over an exchange, unless the connection was found closed.
func (c *conn) begin(ex *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return false
	}
	ex.conn, c.ex = c, ex
	c.until(ex.Deadline)
	c.jobs <- ex // never blocks: the last one was taken before its answer came
	return true
}

// callOff ends an exchange by closing its connection: a late answer must reach no other request.
func (c *conn) callOff(ex *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ex != ex || ex.off {
		return
	}
	ex.off = true
	if c.nc != nil {
		c.nc.Close()
	}
}

func (c *conn) withhold(ex *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ex == ex && !ex.begun {
		ex.off = true
	}
}

// run opens the connection for its first exchange and writes.
func (c *conn) run(ex *Exchange, addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), min(c.pool.ConnectTimeout, time.Until(ex.Deadline)))
	began := time.Now()
	nc, err := c.pool.dial(ctx, addr)
	cancel()
	if err != nil {
		res := Result{Outcome: balance.ConnectFailed, EndedAt: time.Now(), Err: err}
		c.mu.Lock()
		if ex.off {
			res.Outcome = balance.NotSent
		}
		c.ex, c.dead = nil, true
		c.mu.Unlock()
		c.pool.post(func() {
			c.pool.forget(c)
			ex.OnDone(res)
		})
		return
	}
	ex.opening = opened(nc, time.Since(began))
	c.mu.Lock()
	c.nc, c.pending = nc, pending(nc)
	c.way = min(ex.opening, wayMost)
	c.until(ex.Deadline)
	c.mu.Unlock()
	go c.read()
	c.write(ex)
	for ex := range c.jobs {
		c.write(ex)
	}
}

// unwanted is why an exchange is not to be written any more, nil where it is. It is asked last before the first byte, of first and
// further attempts alike. Danger: whatever was true when the attempt was ordered, this goroutine may have waited for a connection, or its core.
func (c *conn) unwanted(ex *Exchange) error {
	switch {
	case ex.off:
		return errOff
	case !ex.SendBy.IsZero() && time.Now().Add(c.way).After(ex.SendBy):
		return errLate
	case c.to.shut():
		return errDrains
	case ex.ClientGone != nil && ex.ClientGone():
		return ErrClientGone
	}
	return nil
}

// write writes a request, unless it is unwanted or something has come before it. Danger: a second copy of the answer before would be
// read as the answer to this request, and one written to a connection that the server has closed may seem to have run.
func (c *conn) write(ex *Exchange) {
	c.mu.Lock()
	sound := !c.dead && !c.pending()
	why := c.unwanted(ex)
	ex.begun = sound && why == nil
	ex.writing = time.Now()
	if sound && why != nil {
		c.ex = nil // the connection is good for another
	}
	c.mu.Unlock()
	if sound && why != nil {
		close(ex.wrote)
		res := Result{Outcome: balance.NotSent, EndedAt: ex.writing, Err: why}
		c.pool.post(func() {
			c.pool.rest(c)
			ex.OnDone(res)
		})
		return
	}
	err := errUnasked
	if ex.begun {
		c.nc.SetWriteDeadline(ex.Deadline)
		ex.sent = ex.writing.Add(-ex.opening)
		var n int64
		n, err = http1.WriteCounted(c.nc, ex.Head, ex.Tail, ex.Body)
		if ex.some = n > 0; err == nil && ex.Upload != nil {
			if err = ex.Upload.to(c.nc); err == nil && ex.ResponseTimeout > 0 {
				c.due(ex, time.Now().Add(ex.ResponseTimeout))
			}
		}
	}
	ex.whole = err == nil
	close(ex.wrote)
	if err != nil {
		c.nc.Close() // the reader tells
	}
}

// opened is how long a connection took to open. Danger: this program may have been too busy to see it open, which is no fault of the
// other side's; the system knows better, unless it had to ask twice.
func opened(nc net.Conn, took time.Duration) time.Duration {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return took
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return took
	}
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.Total_retrans == 0 && info.Rtt > 0 {
			took = min(took, time.Duration(info.Rtt)*time.Microsecond)
		}
	})
	return took
}

// due sets when an exchange that is still in work is to have its answer, unless that flows already.
func (c *conn) due(ex *Exchange, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ex == ex && !ex.flows {
		c.until(at)
	}
}

var (
	errUnasked = errors.New("closed, or an answer to nothing")
	errOff     = errors.New("called off")
	errLate    = errors.New("too late to be sent again")
	errDrains  = errors.New("its backend drains")
	errEarly   = errors.New("an answer that came before its request was written")
)

// HasUnreadBytes tells whether bytes or the end wait to be read, as far as a connection can tell. The reader that waits for
// them may not have run yet.
func HasUnreadBytes(nc net.Conn) bool { return pending(nc)() }

func pending(nc net.Conn) func() bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return func() bool { return false }
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() bool { return true }
	}
	waits, one := false, make([]byte, 1)
	look := func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), one, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = err != syscall.EAGAIN && err != syscall.EINTR
	}
	return func() bool {
		err := raw.Control(look)
		return waits || err != nil
	}
}

// ClosedByPeer tells whether the other side has closed a connection or ended its sending, whatever bytes wait before that, as far as a
// connection can tell.
func ClosedByPeer(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	hung := false
	err = raw.Control(func(fd uintptr) {
		ask := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, _ := unix.Poll(ask[:], 0)
		hung = n > 0
	})
	return hung || err != nil // closed here
}

// wait blocks until a byte of an answer has come, or the time for it is over. Danger: the read deadline is an exchange's, and is not
// taken back when that is over; it may pass while the connection is idle, or just as the next exchange begins.
func (c *conn) wait(r *http1.Reader) error {
	for {
		err := r.Wait()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		c.mu.Lock()
		idle, early := c.ex == nil, time.Now().Before(c.by)
		if idle {
			c.until(time.Time{})
		}
		c.mu.Unlock()
		if !idle && !early {
			return err
		}
	}
}

// read reads answers, and notices while none is due that the server closes.
func (c *conn) read() {
	in := recvtime.NewReader(c.nc)
	r := http1.NewReader(in)
	for {
		err := c.wait(r)
		if c.pool.came != nil {
			c.pool.came()
		}
		c.mu.Lock()
		ex := c.ex
		unasked := ex == nil || !ex.begun
		// Danger: these bytes may have been taken from the system before the writer looked for any.
		at := in.Received()
		early := !unasked && err == nil && !at.IsZero() && at.Before(ex.writing)
		c.dead = unasked
		c.mu.Unlock()
		if ex == nil {
			break
		}
		res, keep := Result{Outcome: balance.NotSent, Err: errUnasked}, false
		if unasked {
			<-ex.wrote // it was not
			res.EndedAt = time.Now()
		} else {
			if early {
				err = errEarly
			}
			res, keep = c.answer(r, ex, err)
			if at := in.Received(); res.Status > 0 && at.After(ex.sent) && at.Before(res.EndedAt) { // it waited here to be read
				res.EndedAt = at
			}
			res.SentAt = ex.sent
		}
		keep = keep && !c.pool.shut.Load()
		if !keep {
			c.nc.Close()
		}
		c.mu.Lock()
		c.ex, c.dead = nil, !keep
		c.mu.Unlock()
		c.pool.post(func() {
			if keep {
				c.pool.rest(c)
			}
			ex.OnDone(res)
		})
		if !keep {
			break
		}
	}
	c.nc.Close()
	close(c.jobs)
	c.pool.post(func() { c.pool.forget(c) })
}

// answer reads the answer to an exchange, and tells whether the connection may be used again.
func (c *conn) answer(r *http1.Reader, ex *Exchange, err error) (Result, bool) {
	var h *http1.Head
	var res Result
	if err == nil {
		h, err = r.Response()
	}
	never := false
	if err == nil {
		res.Status, res.Length = h.Status, h.Length
		if ex.HeadOnly {
			h.Length, h.Chunked = 0, false
		}
		never = string(h.Get("X-Never-Ran")) == "1"
		if h.Status == 200 || ex.Passthrough { // copied, since reading the body moves the head
			res.Fields = http1.AppendForwardedFields(nil, h, "Endpoint-Load-Metrics", "X-Never-Ran")
		}
		if flows := h.Length < 0 || h.Length > http1.DefaultMaxBytes; flows && (h.Status == 200 || ex.Passthrough && h.Status < 500) && ex.OnResponseStarted != nil &&
			(h.Length <= flowMost || ex.Passthrough) {
			return c.flow(r, ex, h, res)
		}
		if want := h.Length; want < 0 || want > http1.DefaultMaxBytes {
			if want < 0 {
				want = largeMost
			}
			if want <= largeMost && c.pool.ReserveMemory(int64(want)) {
				res.ReservedBytes = int64(want)
				r.SetMaxBytes(want)
			}
		}
		res.Body, err = r.Body(h.Length, h.Chunked)
	}
	res.EndedAt = time.Now()
	if err != nil {
		c.nc.Close()
		ex.written()
		res.Outcome, res.Err = c.broke(ex, err), err
		return res, false
	}
	switch {
	case h.Status == 200 || ex.Passthrough && h.Status < 500:
		res.Outcome = balance.Succeeded
	case (h.Status == 503 || h.Status == 504) && never:
		res.Outcome = balance.ServerRejected
	case h.Status >= 400 && h.Status < 500 && h.Status != 408 && h.Status != 429: // of time and of room: not the request's fault
		res.Outcome = balance.InvalidRequest
	default:
		res.Outcome = balance.ServerError
	}
	// Danger: the writer may not have run on since its last byte went, which must not cost the connection; or it
	// is at a long body that the server answered without reading, which must not keep the answer.
	select {
	case <-ex.wrote:
	default:
		c.nc.SetWriteDeadline(res.EndedAt.Add(writeOn))
	}
	ex.written()
	if !ex.whole && res.Outcome == balance.Succeeded && !ex.Passthrough && ex.Upload == nil { // a server begins when the last byte has come
		c.nc.Close()
		res.Outcome, res.Err = balance.ConnectFailed, errEarly
		return res, false
	}
	return res, !h.Close && ex.whole && !r.Buffered()
}

// flow hands a large answer on as it comes. The client's pace is the server's: what is not taken is not read. Until it begins it is
// kept: if it ends or breaks by then it is a small answer, or one that another attempt may still give.
func (c *conn) flow(r *http1.Reader, ex *Exchange, h *http1.Head, res Result) (Result, bool) {
	length, chunked, closes := h.Length, h.Chunked, h.Close // reading on moves the head
	enough := http1.DefaultMaxBytes + 1
	if length > http1.DefaultMaxBytes {
		enough = flowBegin
	}
	var mu sync.Mutex
	var first []byte
	var in *io.PipeWriter
	over, late := false, time.Now().Add(flowFirst)
	begin := func() { // with the lock
		var out *io.PipeReader
		out, in = io.Pipe()
		c.mu.Lock()
		ex.flows = true
		c.nc.SetReadDeadline(time.Now().Add(flowIdle)) // danger: a large answer takes longer than any deadline; once begun it counts as given
		c.mu.Unlock()
		begun := res
		begun.Body, begun.Stream = first, out
		first = nil
		c.pool.post(func() { ex.OnResponseStarted(begun) }) // with the lock: it comes before the report
	}
	timer := time.AfterFunc(flowFirst, func() { // danger: a server that gives a large answer slowly keeps its client waiting
		mu.Lock()
		defer mu.Unlock()
		if len(first) > 0 && in == nil && !over {
			begin()
		}
	})
	defer timer.Stop()
	from, buf := r.StreamBody(length, chunked), make([]byte, flowBytes)
	var err error
	for err == nil {
		var n int
		n, err = from.Read(buf)
		mu.Lock()
		if in == nil {
			if first = append(first, buf[:n]...); err == nil && (len(first) >= enough || len(first) > 0 && time.Now().After(late)) {
				begin()
			}
			over = err != nil
			mu.Unlock()
			continue
		}
		mu.Unlock()
		if n > 0 {
			if _, e := in.Write(buf[:n]); e != nil {
				err = e
			}
		}
		c.nc.SetReadDeadline(time.Now().Add(flowIdle)) // what a slow client takes its time for does not count
	}
	res.EndedAt = time.Now()
	if in != nil {
		in.CloseWithError(err) // io.EOF where there is none
	}
	switch {
	case err == io.EOF:
		ex.written()
		if in == nil {
			res.Body, res.Length = first, len(first)
		}
		res.Outcome = balance.Succeeded
		return res, !closes && ex.whole && !r.Buffered()
	case in == nil:
		c.nc.Close()
		ex.written()
		res.Status, res.Fields = 0, nil
		res.Outcome, res.Err = c.broke(ex, err), err
		return res, false
	case c.isOff(ex) || errors.Is(err, io.ErrClosedPipe) || errors.Is(err, ErrClientGone):
		res.Outcome = balance.Canceled // its client has gone
	default:
		res.Outcome, res.Err = balance.ConnectionLost, err
	}
	c.nc.Close()
	ex.written()
	return res, false
}

// Upload is a body that goes on as it comes, once: it is not kept. The client's side writes into In and closes it at its end.
type Upload struct {
	Chunked bool
	In      *io.PipeWriter
	out     *io.PipeReader
	begun   atomic.Bool
}

// NewUpload makes one.
func NewUpload(chunked bool) *Upload {
	u := &Upload{Chunked: chunked}
	u.out, u.In = io.Pipe()
	return u
}

// OnResponseStarted tells whether some of it may have gone to a server: there can be no other attempt then.
func (u *Upload) Started() bool { return u.begun.Load() }

// Stop lets the client's side end: nothing more of it is wanted.
func (u *Upload) Stop() { u.out.CloseWithError(ErrUploadStopped) }

// ErrUploadStopped is what the client's side of an upload meets when its request has its answer.
var ErrUploadStopped = errors.New("the body is not wanted any more")

// to writes it to a server, at the pace of both.
func (u *Upload) to(nc net.Conn) error {
	u.begun.Store(true)
	var to io.Writer = nc
	if u.Chunked {
		to = http1.Chunked{Conn: nc}
	}
	for buf := make([]byte, flowBytes); ; {
		n, err := u.out.Read(buf)
		if n > 0 {
			nc.SetWriteDeadline(time.Now().Add(flowIdle)) // a slow client's time does not count
			if _, err := to.Write(buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF && u.Chunked:
			return http1.Chunked{Conn: nc}.Close()
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// written waits until a request's writing has ended. Danger: a body that flows may wait for its client for ever, who waits for
// the answer.
func (ex *Exchange) written() {
	if ex.Upload != nil && ex.Upload.Started() {
		ex.Upload.Stop()
	}
	<-ex.wrote
}

// ErrClientGone closes the flow of an answer whose client has gone.
var ErrClientGone = errors.New("the client has gone")

// broke is the outcome of an exchange whose writing has ended and whose answer did not come whole.
func (c *conn) broke(ex *Exchange, err error) balance.Outcome {
	if ex.Passthrough && !ex.whole && ex.some { // danger: a server that is not the platform's may begin before a request's last byte
		return balance.ConnectionLost
	}
	return broken(err, ex.whole, c.isOff(ex))
}

// broken is the outcome of an exchange without a whole answer.
func broken(err error, whole, off bool) balance.Outcome {
	switch {
	case off && whole:
		return balance.Canceled
	case off:
		return balance.NotSent
	case !whole: // a server begins a request when its last byte has come
		return balance.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.TimedOut
	}
	return balance.ConnectionLost // danger: anything malformed may have run as well
}

func (c *conn) isOff(ex *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ex.off
}
