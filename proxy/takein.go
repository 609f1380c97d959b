package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/poller"
	"lockloom/internal/recvtime"
	"lockloom/internal/settings"
	"lockloom/internal/upstream"
	"lockloom/lifecycle"
)

// client is a client's connection.
type client struct {
	p    *Proxy
	open bool // by the ordinary door
	nc   net.Conn
	*reader
	met     time.Time
	by      time.Time   // its present read deadline
	slow    *time.Timer // of a request that takes long; nil: none did yet
	out     []byte      // the head of its last answer
	fed     bool        // a body flowed
	lost    bool        // its client has closed it, or takes nothing more
	feeding chan error  // of a body that flows, and is still read
	passes  chan bool   // its request's turn has come, or is not to come
	inHand  bool        // its request is in this core's hands
	ahead   bool        // its present request was sent before the answer to the last
	over    bool        // taken over the bound

	idle  *poller.Wait  // nil: reading waits
	left  atomic.Bool   // its request is not waited for any more; the connection ends then
	ended atomic.Bool   // its client sends nothing more than has come
	wake  chan struct{} // its next request has come, or it is to go

	closed  atomic.Bool // it is to go, see end
	evicted atomic.Bool // and at once: others want its place
	hurried atomic.Bool // and what its client has not sent of its request is not waited for

	// Under door.mu.
	begun         bool      // its request has, and has not come whole
	lingering     bool      // it has its last answer
	fresh         bool      // new, or begun: gets time to go on
	since         time.Time // waits since
	goes          time.Time // unless its request has begun to come, it is closed then
	line          *line     // the one that it stands in; nil: none
	before, after *client   // there
}

// accept takes connections until the listener ends.
func (p *Proxy) accept(ln net.Listener, open bool) error {
	for {
		p.door.wait(p.closing.Load, p.behind)
		nc, err := ln.Accept()
		if err != nil {
			if p.stopping() && errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, os.ErrDeadlineExceeded) { // another process of this proxy accepts now
				time.Sleep(paceTurns)
				continue
			}
			var temporary net.Error
			if errors.As(err, &temporary) && !errors.Is(err, net.ErrClosed) {
				p.log.WithError(err).Error("accept")
				time.Sleep(acceptPause)
				continue
			}
			return err
		}
		r := readers.Get().(*reader)
		r.from.Reset(nc)
		r.Reset(r.from)
		r.AnyBodySize = true
		c := &client{p: p, open: open, nc: nc, reader: r, met: time.Now(), passes: make(chan bool, 1), wake: make(chan struct{}, 1)}
		c.idle = p.idle.Add(nc, func(ended bool) {
			c.ended.Store(ended)
			c.rouse()
		})
		c.over = p.door.enter(c)
		p.work.Add(1)
		go c.serve()
	}
}

// reader reads a connection, for as long as that lasts.
type reader struct {
	*http1.Reader
	from *recvtime.Reader
}

// readers are of connections that have ended.
var readers = sync.Pool{New: func() any { return &reader{http1.NewReader(nil), recvtime.NewReader(nil)} }}

// until sets when reading ends without a byte.
func (c *client) until(t time.Time) {
	c.by = t
	c.nc.SetReadDeadline(t)
	if c.hurried.Load() {
		c.nc.SetReadDeadline(past)
	}
}

// past is a deadline that ends reading, but for what has come.
var past = time.Unix(1, 0)

// serve takes in the requests of one connection, one after the other.
func (c *client) serve() {
	defer c.p.work.Done()
	defer func() {
		if !c.fed { // else somebody may still read
			c.from.Reset(nil)
			readers.Put(c.reader)
		}
	}()
	defer c.p.door.leave(c)
	defer c.hangUp()
	defer c.p.rescue()
	for first := true; ; first = false {
		c.p.door.rest(c, first)
		if c.ahead = c.Buffered(); !c.ahead && c.waits() {
			<-c.wake
			if c.ended.Load() && c.p.behind() { // danger: requests whose clients have given up would take the turns of those who wait
				c.lost = true
				return
			}
		}
		if err := c.Wait(); err != nil {
			c.lost = !errors.Is(err, os.ErrDeadlineExceeded) // else the door has it go
			return
		}
		c.p.door.begin(c, first)
		if !c.one(first) {
			return
		}
	}
}

// hangUp ends a connection, whatever ended its service: nothing more is sent, what its client still sends is read and dropped until
// that ends too, for a bounded time. Danger: closed over bytes that nobody read, the system resets it, and an answer that is still on
// its way is lost with that. Nothing that comes from here on is a request: no answer could follow it.
func (c *client) hangUp() {
	defer c.nc.Close()
	defer c.idle.Forget()
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || c.lost || c.evicted.Load() || half.CloseWrite() != nil {
		return
	}
	c.p.door.lingers(c)
	if c.feeding != nil { // that reads on
		select {
		case <-c.feeding:
		case <-time.After(lingerFor):
		}
		return
	}
	c.nc.SetReadDeadline(time.Now().Add(lingerFor))
	io.CopyN(io.Discard, c.from, lingerMost)
}

// waits has a connection wait with all others, if that is known to work.
func (c *client) waits() bool {
	select {
	case <-c.wake: // from before
	default:
	}
	return c.idle != nil && c.idle.Begin() == nil && c.p.idle.Works() && !c.closed.Load()
}

// rouse has it read on.
func (c *client) rouse() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// one takes in a request, has it answered, and tells whether the connection stays.
func (c *client) one(first bool) bool {
	defer func() {
		if c.inHand {
			c.inHand = false
			c.p.done()
		}
	}()
	if !c.Ready() {
		whole := time.Now().Add(headFor)
		if last := c.met.Add(firstHead); first && last.Before(whole) {
			whole = last
		}
		c.until(whole)
	}
	h, err := c.Request()
	if err != nil {
		return c.turnAway(err)
	}
	arrived := c.came() // it may have waited for this core; but the time in which a client writes slowly is none of its request's
	closing := h.Close
	head, old := string(h.Method) == "HEAD", h.HTTP10
	l, a, told, err := c.read(h, arrived, first)
	if err != nil {
		return c.turnAway(err)
	}
	closing = closing || h.Close // danger: a body that nobody wants is left unread, and would be taken for a request
	c.p.door.rouse(c)            // only now: a request that does not come whole is no reason to stay
	answer := reply{}
	if told != nil {
		answer = *told
	}
	if l != nil {
		l.client = c
		if l.upload != nil {
			c.until(time.Time{})
			fed := make(chan error, 1)
			c.feeding, c.fed = fed, true
			go c.feed(l, fed)
		}
		size := int64(len(l.head) + len(l.body))
		room := c.p.hold(size)
		if room {
			defer c.p.held.Add(-size)
		}
		over := !room || c.over || !c.p.takes()
		c.inHand = false
		c.p.post(func() {
			defer c.p.done() // danger: a panic that costs one request must not cost the core a hand
			c.p.admit(l, a, over)
		})
		if answer, err = c.await(l); err != nil {
			c.left.Store(true) // danger: the owner may hear of it late
			c.p.post(func() { c.p.left(l) })
			return c.turnAway(err)
		}
		if l.upload != nil { // it may not have been read to its end, and what is left of it would be taken for a request
			l.upload.Stop()
			closing = true
		}
	}
	defer c.p.held.Add(-answer.held)
	answer.bare, answer.old = answer.bare || head && c.open, old
	closing = closing || c.over || c.closed.Load() || c.p.closes() || first && c.p.door.full() || answer.flow != nil && old && answer.length < 0
	if err = c.relay(answer, closing); err != nil {
		c.lost = true
	}
	if err != nil || closing {
		return false
	}
	if !c.by.IsZero() {
		c.until(time.Time{}) // the door closes it
	}
	return true
}

// feed hands a body on as it comes, at the server's pace, and says how that ended. A request that is answered stops it. Danger: the attempt
// ends by the body's end too, and what became of the body is the better answer; so it is said first.
func (c *client) feed(l *lookup, fed chan<- error) {
	var err error
	if len(l.body) > 0 { // what was kept of it until it was found too large
		_, err = l.upload.In.Write(l.body)
	}
	if err == nil {
		_, err = io.CopyBuffer(struct{ io.Writer }{l.upload.In}, l.from, make([]byte, flowBytes))
	}
	if err == nil {
		at := time.Now()
		c.p.post(func() { c.p.whole(l, at) })
	}
	stopped := errors.Is(err, upstream.ErrUploadStopped)
	if !stopped {
		fed <- err
	}
	l.upload.In.CloseWithError(err)
	if stopped { // read on a little, so that the client can read its answer
		io.CopyN(io.Discard, l.from, lingerMost)
		fed <- err
	}
}

// paced reads a body from a client that must keep a pace, however it is cut into pieces. Only the time in which the client is
// waited for counts: a server may take it slowly.
type paced struct {
	nc     net.Conn
	r      io.Reader
	over   *atomic.Bool // no more of it is waited for; nil: never
	grace  time.Duration
	got    int
	most   int           // bytes; 0: any
	waited time.Duration // for them
}

func (b *paced) Read(to []byte) (int, error) {
	left := min(b.grace+time.Duration(b.got)*time.Second/bodyPace-b.waited, bodyGrace)
	if left <= 0 {
		return 0, fmt.Errorf("%d bytes of the body in %v of waiting: %w", b.got, b.waited, os.ErrDeadlineExceeded)
	}
	began := time.Now()
	b.nc.SetReadDeadline(began.Add(left))
	if b.over != nil && b.over.Load() {
		b.nc.SetReadDeadline(past)
	}
	n, err := b.r.Read(to)
	b.nc.SetReadDeadline(time.Time{})
	b.waited += time.Since(began)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("%d bytes of the body in %v of waiting: %w", b.got+n, b.waited, err)
	}
	if b.got += n; b.most > 0 && b.got > b.most {
		return n, &http1.Error{Status: 413, Text: "body too large"}
	}
	return n, err
}

// await waits for a request's answer, and for its client to go: a body that flows tells that first. Else the connection is watched
// only where the answer takes long: a watch costs a goroutine and two turns of the scheduler. What a client sends before it has its
// answer stays in the buffer; behind what does not fit, or is not read, the system is asked for its end.
func (c *client) await(l *lookup) (reply, error) {
	if c.slow == nil {
		c.slow = time.NewTimer(watchAfter)
	} else {
		c.slow.Reset(watchAfter)
	}
	defer c.slow.Stop()
	fed, watched, deaf := c.feeding, chan error(nil), c.feeding != nil
	for {
		select {
		case answer := <-l.answer:
			if watched != nil {
				c.until(past) // ends the watch
				<-watched
			}
			return answer, nil
		case err := <-fed:
			stopped := errors.Is(err, upstream.ErrUploadStopped) || errors.Is(err, io.ErrClosedPipe) // the client has not gone
			if c.feeding, fed, deaf = nil, nil, stopped; err != nil && !stopped {
				return reply{}, err
			}
		case err := <-watched:
			if err != nil {
				return reply{}, err
			}
			watched, deaf = nil, true
			c.slow.Reset(lookEvery)
		case <-c.slow.C:
			if !deaf {
				c.until(time.Time{})
				watched = make(chan error, 1)
				go func() { watched <- c.Watch() }()
				break
			}
			if upstream.ClosedByPeer(c.nc) {
				return reply{}, errGone
			}
			c.slow.Reset(lookEvery)
		}
	}
}

// errGone says that a client closed its connection behind what was not read of it.
var errGone = errors.New("the client has gone")

// came is when what was read last came to this machine, as far as that is known.
func (c *client) came() time.Time {
	if at := c.from.Received(); !at.IsZero() && !c.ahead {
		return at
	}
	return time.Now()
}

// read reads the rest of a request and what it says of its request; there is none in a question of readiness.
func (c *client) read(h *http1.Head, arrived time.Time, first bool) (*lookup, balance.RequestInfo, *reply, error) {
	var l *lookup
	var a balance.RequestInfo
	var told *reply
	var err error
	if !c.open {
		h.Target = origin(h.Target)
	}
	body := h.Chunked || h.Length != 0
	path, query, _ := bytes.Cut(h.Target, []byte{'?'})
	if c.open {
		if l, a, told, err = c.routed(h, arrived); err != nil {
			return nil, a, nil, err
		}
		if l != nil && !body && !c.turn(l.row, a.Tenant, 0) {
			l, told = nil, c.p.tired()
		}
	} else if string(path) == "/up" {
		up := c.p.up()
		told = &up
	} else {
		if a, err = c.p.arrival(h, path, query, arrived); err != nil {
			return nil, a, nil, err
		}
		row := &c.p.launch.Classes[a.Class]
		if !body && !c.turn(row, a.Tenant, 0) {
			told = c.p.tired()
		} else {
			l = &lookup{in: c.p.main, row: row, arrived: c.p.stamp(arrived), hardStop: a.Deadline, id: string(h.Get("X-Trace-Id")), answer: make(chan reply, 1)}
			l.head = http1.AppendRequest(make([]byte, 0, headGuess), h.Method, h.Target)
			l.head = http1.AppendForwardedFields(l.head, h, "X-Expires-In")
		}
	}
	get := string(h.Method) == "GET" || string(h.Method) == "HEAD" // reading the body moves the head
	if h.Continue && !c.Buffered() {
		c.nc.SetWriteDeadline(time.Now().Add(clientSlow))
		c.nc.Write(append(http1.AppendStatus(nil, 100), "\r\n"...))
	}
	if h.Length > bodyMost && !c.open {
		return nil, a, nil, &http1.Error{Status: 413, Text: "body too large"}
	}
	flows := h.Length > http1.DefaultMaxBytes || h.Chunked && c.open
	if flows && l == nil { // a route's own answer, or a question of readiness: the body is not wanted, and the connection ends
		h.Close = true
		return l, a, told, nil
	}
	length, chunked := h.Length, h.Chunked
	if length == 0 && !chunked {
		if l != nil {
			c.kept(l, &a, nil, get, arrived)
		}
		return l, a, told, nil
	}
	c.by = time.Time{} // each read of the body sets its own
	from := &paced{nc: c.nc, r: c.StreamBody(length, chunked), over: &c.hurried, grace: bodyGrace}
	if first {
		from.grace = min(max(time.Until(c.met.Add(firstBody)), bodyLeast), bodyGrace)
	}
	if !c.open {
		from.most = bodyMost
	}
	var came []byte
	if !flows {
		var err error
		came, err = io.ReadAll(io.LimitReader(from, http1.DefaultMaxBytes+1))
		if err != nil {
			return l, a, told, err
		}
		flows = len(came) > http1.DefaultMaxBytes // chunks that have not ended: what has come of them goes first
	}
	if l == nil {
		return l, a, told, nil
	}
	if flows {
		l.body = came
		l.upload, l.from = upstream.NewUpload(chunked), from
		l.wait, a.Streaming = a.Deadline-l.arrived, true
		a.Deadline = l.arrived + bodyFor.Seconds() // until it has come whole
		if chunked {
			l.head = http1.AppendField(l.head, "Transfer-Encoding", "chunked")
		} else {
			l.head = http1.AppendLength(l.head, length)
		}
		l.hardStop = a.Deadline
		return l, a, told, nil
	}
	if !c.turn(l.row, a.Tenant, len(came)) {
		return nil, a, c.p.tired(), nil
	}
	c.kept(l, &a, came, get, arrived)
	return l, a, told, nil
}

// tired is the answer to a request that this core does not take on.
func (p *Proxy) tired() *reply {
	return &reply{status: 503, advice: p.launch.MaxRetryAfter, body: []byte("dismissed\n")}
}

// kept is a request whose body came whole, or that has none.
func (c *client) kept(l *lookup, a *balance.RequestInfo, body []byte, get bool, arrived time.Time) {
	l.body = body
	if !get || len(body) > 0 {
		l.head = http1.AppendLength(l.head, len(body))
	}
	if body != nil {
		late := c.came().Sub(arrived).Seconds() // its time counts from its last byte
		l.arrived += late
		a.Deadline += late
	}
	l.hardStop = a.Deadline
}

// origin is a target without scheme and host, which a client may write too.
func origin(target []byte) []byte {
	const scheme = "http://"
	if len(target) < len(scheme) || !bytes.EqualFold(target[:len(scheme)], []byte(scheme)) {
		return target
	}
	rest := target[len(scheme):]
	i := bytes.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return []byte{'/'}
	case rest[i] == '?':
		return append([]byte{'/'}, rest[i:]...)
	}
	return rest[i:]
}

// ownFields say whose request it is and how it may be sent again.
var ownFields = []string{"X-Trace-Id", "X-Qos", "X-Expires-In", "Idempotency-Key"}

// arrival is what a request's head says of its request.
func (p *Proxy) arrival(h *http1.Head, path, query []byte, arrived time.Time) (balance.RequestInfo, error) {
	a := balance.RequestInfo{Tenant: -1}
	refuse := func(status int, text string) (balance.RequestInfo, error) {
		return a, &http1.Error{Status: status, Text: text}
	}
	first, _, _ := bytes.Cut(bytes.TrimPrefix(path, []byte{'/'}), []byte{'/'})
	named := h.Get("X-Qos")
	class, known := p.names.Class(string(named))
	if _, there := p.names.Class(string(first)); !bytes.HasPrefix(path, []byte{'/'}) || !there && (known || named == nil) {
		return refuse(404, "no such path")
	} else if !known {
		return refuse(400, "unknown tariff")
	}
	get, kind := string(h.Method) == "GET", p.launch.Classes[class].Idempotency
	wait, err := strconv.ParseFloat(string(h.Get("X-Expires-In")), 64)
	for _, name := range ownFields { // danger: a server may go by another of them than this proxy
		if h.HasRepeated(name) {
			return refuse(400, name+" twice")
		}
	}
	switch {
	case get && (h.Length > 0 || h.Chunked): // danger: a server that expects none takes it for a request
		return refuse(400, "GET with a body")
	case !bytes.Equal(first, named):
		return refuse(400, "path and X-Qos differ")
	case len(h.Get("X-Trace-Id")) == 0:
		return refuse(400, "no X-Trace-Id")
	case !get && string(h.Method) != "POST":
		return refuse(501, "method not known")
	case get && kind != balance.Idempotent:
		return refuse(400, "method does not fit the tariff")
	case kind == balance.Keyed && len(h.Get("Idempotency-Key")) == 0:
		return refuse(400, "no Idempotency-Key")
	case err != nil || math.IsNaN(wait) || math.IsInf(wait, 0):
		return refuse(400, "no X-Expires-In")
	}
	a.Class = class
	a.Deadline = p.stamp(arrived) + min(wait, longestWait)
	if last := p.last.Load(); last != nil {
		a.Deadline = min(a.Deadline, p.stamp(*last))
	}
	a.ClientRetry = string(h.Get("X-Second-Try")) == "1"
	if name := h.Get("X-Customer"); name != nil {
		a.Tenant = p.names.Tenant(string(name))
	}
	for part := range bytes.SplitSeq(query, []byte{'&'}) {
		if key, ok := bytes.CutPrefix(part, []byte("user=")); ok {
			a.Key = settings.NameHash(string(key))
		}
	}
	for part := range bytes.SplitSeq(h.Get("X-Props"), []byte{','}) {
		if hint, ok := bytes.CutPrefix(bytes.TrimSpace(part), []byte("ExpectedMs=")); ok {
			if ms, err := strconv.ParseFloat(string(hint), 64); err == nil && ms > 0 && !math.IsInf(ms, 0) {
				a.ExpectedWork = ms / 1000
			}
		}
	}
	return a, nil
}

// turnAway answers what cannot be taken.
func (c *client) turnAway(err error) bool {
	if c.hurried.Load() {
		return false
	}
	status, text := 0, err.Error()
	var wrong *http1.Error
	switch {
	case errors.As(err, &wrong):
		status = wrong.Status
	case errors.Is(err, os.ErrDeadlineExceeded):
		status, text = 408, "request not whole in time"
	case errors.Is(err, io.ErrUnexpectedEOF):
		status, text = 400, "request not whole"
	default:
		c.lost = true
		return false
	}
	c.p.post(func() { c.p.counts.TurnedAway++ })
	c.p.log.WithField("client", c.nc.RemoteAddr().String()).Debug("turned away: ", text, ": ", err)
	c.evicted.Store(false)
	c.lost = c.relay(reply{status: status, body: []byte(text + "\n")}, true) != nil
	return false
}

// up answers whether the proxy takes requests.
func (p *Proxy) up() reply {
	if peek(p.life, (*lifecycle.Process).WantsClients) {
		return reply{status: 200, body: []byte("up\n")}
	}
	return reply{status: 503, body: []byte("not up\n")}
}
