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
	"time"

	"lockloom/balance"
	"lockloom/duty"
	"lockloom/internal/backends"
	"lockloom/internal/figures"
	"lockloom/internal/heads"
)

// client is a client's connection.
type client struct {
	p    *Proxy
	open bool // by the ordinary door
	nc   net.Conn
	r    *heads.Reader
	met  time.Time
	over bool // taken over the bound

	// Under door.mu.
	begun  bool      // its request has, and has not come whole
	kept   bool      // idle between requests
	fresh  bool      // new, or begun: gets time to go on
	since  time.Time // waits since
	closed bool      // by the door
}

// accept takes connections until the listener ends.
func (p *Proxy) accept(ln net.Listener, open bool) error {
	for {
		p.door.wait(p.stopping)
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
		c := &client{p: p, open: open, nc: nc, r: heads.NewReader(nc), met: time.Now()}
		c.r.Any = true
		c.over = p.door.enter(c)
		p.work.Add(1)
		go c.serve()
	}
}

// serve takes in the requests of one connection, one after the other.
func (c *client) serve() {
	defer c.p.work.Done()
	defer c.p.door.leave(c)
	defer c.nc.Close()
	defer c.p.rescue()
	came := make(chan error, 1)
	c.nc.SetReadDeadline(c.met.Add(firstBegun))
	go func() { came <- c.r.Wait() }()
	for first := true; ; first = false {
		c.p.door.rest(c, first, !first)
		if err := <-came; err != nil || !c.p.door.begin(c, first) || !c.one(came, first) {
			return
		}
	}
}

// one takes in a request, has it answered, and tells whether the connection stays. When it returns, what
// comes next is being waited for.
func (c *client) one(came chan error, first bool) bool {
	arrived := time.Now()
	whole := arrived.Add(headFor)
	if last := c.met.Add(firstHead); first && last.Before(whole) {
		whole = last
	}
	c.nc.SetReadDeadline(whole)
	h, err := c.r.Request()
	if err != nil {
		return c.turnAway(err)
	}
	closing := h.Close
	head, old := string(h.Method) == "HEAD", h.Old
	l, a, told, err := c.read(h, arrived, first)
	if err != nil {
		return c.turnAway(err)
	}
	if !c.p.door.rouse(c) { // only now: a request that does not come whole is no reason to stay
		return false
	}
	c.nc.SetReadDeadline(time.Time{})
	go func() { // ends too when the client goes
		if l != nil && l.upload != nil {
			if err := c.feed(l); err != nil {
				came <- err
				return
			}
		}
		came <- c.r.Wait()
	}()
	answer := reply{}
	if told != nil {
		answer = *told
	}
	if l != nil {
		size := int64(len(l.head) + len(l.body))
		room := c.p.hold(size)
		if room {
			defer c.p.held.Add(-size)
		}
		over := !room || c.over || !c.p.takes()
		c.p.post(func() { c.p.admit(l, a, over) })
		if answer, err = c.await(l, came); err != nil {
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
	closing = closing || c.over || c.p.closes() || c.p.door.full() || answer.flow != nil && old && answer.length < 0
	err = c.relay(answer, closing)
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && err == nil && l != nil && l.upload != nil {
		half.CloseWrite()
		select {
		case <-came:
		case <-time.After(lingerFor):
		}
	}
	if err != nil || closing {
		return false
	}
	c.nc.SetReadDeadline(time.Now().Add(clientIdle))
	return true
}

// feed hands a body on as it comes, at the server's pace. A lookup that is answered stops it.
func (c *client) feed(l *lookup) error {
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
	l.upload.In.CloseWithError(err)
	if errors.Is(err, backends.ErrStopped) { // read on a little, so that the client can read its answer
		io.CopyN(io.Discard, l.from, uploadRest)
	}
	return err
}

// paced reads a body from a client that must keep a pace, however it is cut into pieces. Only the time in which the client is
// waited for counts: a server may take it slowly.
type paced struct {
	nc     net.Conn
	r      io.Reader
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
	n, err := b.r.Read(to)
	b.nc.SetReadDeadline(time.Time{})
	b.waited += time.Since(began)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("%d bytes of the body in %v of waiting: %w", b.got+n, b.waited, err)
	}
	if b.got += n; b.most > 0 && b.got > b.most {
		return n, &heads.Error{Status: 413, Text: "body too large"}
	}
	return n, err
}

// await waits for a lookup's answer, and for its client to go. What a client sends before it has its answer stays
// in the buffer, and is watched in turn.
func (c *client) await(l *lookup, came chan error) (reply, error) {
	select {
	case answer := <-l.answer:
		return answer, nil
	case err := <-came:
		if errors.Is(err, backends.ErrStopped) || errors.Is(err, io.ErrClosedPipe) { // the client has not gone
			return <-l.answer, nil
		}
		if err != nil {
			return reply{}, err
		}
	}
	gone := make(chan error, 1)
	go func() {
		err := c.r.More()
		for err == nil && c.r.Room() {
			err = c.r.More()
		}
		gone <- err
	}()
	select {
	case answer := <-l.answer:
		c.nc.SetReadDeadline(time.Unix(1, 0)) // ends the watch
		<-gone
		came <- nil
		return answer, nil
	case err := <-gone:
		if err != nil {
			return reply{}, err
		}
		came <- nil
		return <-l.answer, nil
	}
}

// read reads the rest of a request and what it says of its lookup; there is none in a question of readiness.
func (c *client) read(h *heads.Head, arrived time.Time, first bool) (*lookup, balance.Arrival, *reply, error) {
	var l *lookup
	var a balance.Arrival
	var told *reply
	var err error
	if !c.open {
		h.Target = origin(h.Target)
	}
	path, query, _ := bytes.Cut(h.Target, []byte{'?'})
	if c.open {
		if l, a, told, err = c.routed(h, arrived); err != nil {
			return nil, a, nil, err
		}
	} else if string(path) == "/up" {
		up := c.p.up()
		told = &up
	} else {
		if a, err = c.p.arrival(h, path, query, arrived); err != nil {
			return nil, a, nil, err
		}
		l = &lookup{in: c.p.main, row: &c.p.launch.Tariffs[a.Tariff], arrived: c.p.stamp(arrived), hardStop: a.HardStop,
			id: string(h.Get("X-Trace-Id")), answer: make(chan reply, 1)}
		l.head = heads.AppendRequest(make([]byte, 0, headGuess), h.Method, h.Target)
		l.head = heads.AppendOnward(l.head, h, "X-Expires-In")
	}
	get := string(h.Method) == "GET" || string(h.Method) == "HEAD" // reading the body moves the head
	if h.Continue && !c.r.Buffered() {
		c.nc.SetWriteDeadline(time.Now().Add(clientSlow))
		c.nc.Write(append(heads.AppendStatus(nil, 100), "\r\n"...))
	}
	if h.Length > bodyMost && !c.open {
		return nil, a, nil, &heads.Error{Status: 413, Text: "body too large"}
	}
	flows := h.Length > heads.Most || h.Chunked && c.open
	if flows && l == nil { // a route's own answer, or a question of readiness: the body is not wanted, and the connection ends
		h.Close = true
		return l, a, told, nil
	}
	length, chunked := h.Length, h.Chunked
	from := &paced{nc: c.nc, r: c.r.Flow(length, chunked), grace: bodyGrace}
	if first {
		from.grace = min(max(time.Until(c.met.Add(firstBody)), bodyLeast), bodyGrace)
	}
	if !c.open {
		from.most = bodyMost
	}
	var body []byte
	if !flows {
		var err error
		body, err = io.ReadAll(io.LimitReader(from, heads.Most+1))
		if err != nil {
			return l, a, told, err
		}
		flows = len(body) > heads.Most // chunks that have not ended: what has come of them goes first
	}
	if l == nil {
		return l, a, told, nil
	}
	l.body = body
	switch {
	case flows:
		l.upload, l.from = backends.NewUpload(chunked), from
		l.wait, a.Flows = a.HardStop-l.arrived, true
		a.HardStop = l.arrived + bodyFor.Seconds() // until it has come whole
		if chunked {
			l.head = heads.AppendField(l.head, "Transfer-Encoding", "chunked")
		} else {
			l.head = heads.AppendLength(l.head, length)
		}
	case !get || len(body) > 0:
		l.head = heads.AppendLength(l.head, len(body))
		fallthrough
	default:
		late := time.Since(arrived).Seconds() // its time counts from its last byte
		l.arrived += late
		a.HardStop += late
	}
	if last := c.p.last.Load(); last != nil && !flows {
		a.HardStop = min(a.HardStop, c.p.stamp(*last))
	}
	l.hardStop = a.HardStop
	return l, a, told, nil
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

// ownFields say whose lookup it is and how it may be sent again.
var ownFields = []string{"X-Trace-Id", "X-Qos", "X-Expires-In", "Idempotency-Key"}

// arrival is what a request's head says of its lookup.
func (p *Proxy) arrival(h *heads.Head, path, query []byte, arrived time.Time) (balance.Arrival, error) {
	a := balance.Arrival{Customer: -1}
	refuse := func(status int, text string) (balance.Arrival, error) {
		return a, &heads.Error{Status: status, Text: text}
	}
	first, _, _ := bytes.Cut(bytes.TrimPrefix(path, []byte{'/'}), []byte{'/'})
	named := h.Get("X-Qos")
	tariff, known := p.names.Tariff(string(named))
	if _, there := p.names.Tariff(string(first)); !bytes.HasPrefix(path, []byte{'/'}) || !there && (known || named == nil) {
		return refuse(404, "no such path")
	} else if !known {
		return refuse(400, "unknown tariff")
	}
	get, kind := string(h.Method) == "GET", p.launch.Tariffs[tariff].Kind
	wait, err := strconv.ParseFloat(string(h.Get("X-Expires-In")), 64)
	for _, name := range ownFields { // danger: a backend may go by another of them than this proxy
		if h.Twice(name) {
			return refuse(400, name+" twice")
		}
	}
	switch {
	case get && (h.Length > 0 || h.Chunked): // danger: a backend that expects none takes it for a request
		return refuse(400, "GET with a body")
	case !bytes.Equal(first, named):
		return refuse(400, "path and X-Qos differ")
	case len(h.Get("X-Trace-Id")) == 0:
		return refuse(400, "no X-Trace-Id")
	case !get && string(h.Method) != "POST":
		return refuse(501, "method not known")
	case get && kind != balance.Replayable:
		return refuse(400, "method does not fit the tariff")
	case kind == balance.Referenced && len(h.Get("Idempotency-Key")) == 0:
		return refuse(400, "no Idempotency-Key")
	case err != nil || math.IsNaN(wait) || math.IsInf(wait, 0):
		return refuse(400, "no X-Expires-In")
	}
	a.Tariff = tariff
	a.HardStop = p.stamp(arrived) + min(wait, longestWait)
	if last := p.last.Load(); last != nil {
		a.HardStop = min(a.HardStop, p.stamp(*last))
	}
	a.Again = string(h.Get("X-Second-Try")) == "1"
	if name := h.Get("X-Customer"); name != nil {
		a.Customer = p.names.Customer(string(name))
	}
	for part := range bytes.SplitSeq(query, []byte{'&'}) {
		if key, ok := bytes.CutPrefix(part, []byte("user=")); ok {
			a.Key = figures.Hash(string(key))
		}
	}
	for part := range bytes.SplitSeq(h.Get("X-Props"), []byte{','}) {
		if hint, ok := bytes.CutPrefix(bytes.TrimSpace(part), []byte("ExpectedMs=")); ok {
			if ms, err := strconv.ParseFloat(string(hint), 64); err == nil && ms > 0 && !math.IsInf(ms, 0) {
				a.Work = ms / 1000
			}
		}
	}
	return a, nil
}

// turnAway answers what cannot be taken, and reads on a little so that the answer is not lost to a reset.
func (c *client) turnAway(err error) bool {
	status, text := 0, err.Error()
	var wrong *heads.Error
	switch {
	case errors.As(err, &wrong):
		status = wrong.Status
	case errors.Is(err, os.ErrDeadlineExceeded):
		status, text = 408, "request not whole in time"
	case errors.Is(err, io.ErrUnexpectedEOF):
		status, text = 400, "request not whole"
	default: // the connection is gone
		return false
	}
	c.p.post(func() { c.p.counts.TurnedAway++ })
	c.p.log.WithField("client", c.nc.RemoteAddr().String()).Debug("turned away: ", text, ": ", err)
	if c.relay(reply{status: status, body: []byte(text + "\n")}, true) != nil {
		return false
	}
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
		c.p.door.rest(c, false, false) // danger: many that are turned away would keep others out while they are read on
		c.nc.SetReadDeadline(time.Now().Add(lingerFor))
		io.CopyN(io.Discard, c.nc, 2*heads.Most)
	}
	return false
}

// up answers whether the proxy takes lookups.
func (p *Proxy) up() reply {
	if peek(p.life, (*duty.Life).Up) {
		return reply{status: 200, body: []byte("up\n")}
	}
	return reply{status: 503, body: []byte("not up\n")}
}
