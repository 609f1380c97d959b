package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lockloom/internal/http1"
	"lockloom/internal/recvtime"
)

const (
	dialFor   = time.Second // to reach an agent on this machine
	callsMost = 5           // calls out at once; of more, the oldest keeps its place and the next one gives way
	valueMost = 4 << 20     // bytes of a list: some ten thousand servers
)

// Watch follows a list from a version on. While it runs, Version is the list's last and nobody else changes a field.
type Watch struct {
	Addr        string
	Version     int64
	FleetSize   int     // proxies that may ask at the same time, this one included
	DrainGrace  float64 // s that a drain leaves for what is under way; 0: not told
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	OnConnected func()     // each time discovery answers anew; what it tells follows
	OnList      func(List) // each list, in order
	Log         logrus.FieldLogger
	Rand        func() float64 // spreads the pauses, from 0 to 1; nil: a source of its own
}

// call is one call for the list, with goroutines of its own.
type call struct{ stop context.CancelFunc }

// word is what a call has to say.
type word struct {
	from *call
	at   time.Time // when it came
	list *List     // nil: a beat
	err  error     // its end
	how  CallResult
}

// Run watches until the context ends. Hearing says when a call is made; of several that are out the first that speaks is the watch,
// and the others are given up.
func (w *Watch) Run(ctx context.Context) {
	chance := w.Rand
	if chance == nil {
		chance = rand.Float64
	}
	began := time.Now()
	since := func(t time.Time) float64 { return t.Sub(began).Seconds() }
	h := NewNotificationClock(0, w.FleetSize, w.DrainGrace)
	var work sync.WaitGroup
	defer work.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	words, held := make(chan word), []*call(nil) // the oldest first
	var watch *call
	lost, missing := false, false // the last is told, once it is so
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		now := since(time.Now())
		if now >= h.NextCall() {
			if !missing && now > h.Deadline() {
				missing = true
				w.Log.WithFields(logrus.Fields{"version": w.Version, "seconds": round(h.Silence(now))}).
					Warn("the list is not heard: what it misses counts as told")
			}
			h.CallStarted(now)
			c := &call{}
			var one context.Context
			one, c.stop = context.WithCancel(ctx)
			if held = append(held, c); len(held) > callsMost {
				held[1].stop()
				held = slices.Delete(held, 1, 2)
			}
			from := w.Version
			work.Go(func() { w.call(one, c, from, words) })
		}
		due.Reset(toDuration(h.NextCall()-now) + time.Microsecond) // danger: a timer that goes off a rounding too early would spin
		select {
		case <-ctx.Done():
			return
		case <-due.C:
		case s := <-words:
			now = since(time.Now())
			place := slices.Index(held, s.from)
			if place < 0 {
				break // it was given up
			}
			if s.err != nil {
				held = slices.Delete(held, place, place+1)
				s.from.stop()
				log := w.Log.WithError(s.err).WithField("version", w.Version)
				if s.from == watch {
					watch, lost, s.how = nil, true, Broken
					log.Warn("watch lost")
				} else {
					log.Debug("no watch")
				}
				h.CallEnded(now, s.how, len(held), chance())
				break
			}
			first := s.from != watch
			if first {
				for _, c := range held {
					if c != s.from {
						c.stop()
					}
				}
				held = []*call{s.from}
				if watch = s.from; lost || missing {
					w.Log.WithFields(logrus.Fields{"version": w.Version, "seconds": round(h.Silence(now))}).Info("watch had again")
				}
				lost, missing = false, false
				w.OnConnected()
			}
			told := h.EventReceived(since(s.at), first)
			if s.list != nil {
				s.list.NotifiedAt = began.Add(toDuration(told))
				w.Version = s.list.Version
				w.OnList(*s.list)
			}
		}
	}
}

func toDuration(s float64) time.Duration {
	if s > math.MaxInt32 {
		s = math.MaxInt32
	}
	return time.Duration(s * float64(time.Second))
}

func round(s float64) float64 { return math.Round(s*100) / 100 }

// call makes one call and says what comes of it, its end last.
func (w *Watch) call(ctx context.Context, c *call, from int64, words chan<- word) {
	say := func(s word) {
		s.from = c
		select {
		case words <- s:
		case <-ctx.Done():
		}
	}
	how, err := w.follow(ctx, from, say)
	say(word{err: err, how: how})
}

// follow holds a call until it ends, and returns how and why it did.
func (w *Watch) follow(ctx context.Context, from int64, say func(word)) (CallResult, error) {
	dialing, cancel := context.WithTimeout(ctx, dialFor)
	conn, err := w.Dial(dialing, w.Addr)
	cancel()
	if err != nil {
		return Refused, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(toDuration(answerFor)))
	head := fmt.Appendf(nil, "GET /discovery/hosts?stream=1&index=%d HTTP/1.1\r\nHost: %s\r\n\r\n", from, w.Addr)
	if _, err := conn.Write(head); err != nil {
		return Refused, err
	}
	in := recvtime.NewReader(conn)
	r := http1.NewReader(in)
	h, err := r.Response()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return NoResponse, err
	case err != nil:
		return Refused, err
	case h.Status != 200 || !h.Chunked:
		return Rejected, fmt.Errorf("no stream: status %d", h.Status)
	}
	came := func() time.Time { // danger: a program behind its core reads it long after it was told
		if at := in.Received(); !at.IsZero() {
			return at
		}
		return time.Now()
	}
	values := &values{from: r.Rest(), conn: conn, beat: func() { say(word{at: came()}) }}
	lines := bufio.NewScanner(values)
	lines.Buffer(nil, valueMost)
	lines.Split(values.split)
	for lines.Scan() {
		var l List
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return Broken, fmt.Errorf("malformed list: %w", err) // the list as it was still holds
		}
		say(word{at: came(), list: &l})
	}
	if err := lines.Err(); err != nil {
		return Broken, err
	}
	return Broken, errors.New("ended by discovery")
}

// values cuts a stream into the JSON objects in it, however they are laid out: indented, several on a line, or split anywhere.
// What is between them is a beat. A stream has so long for its next word, and an object that was begun so long to its end.
type values struct {
	from    io.Reader
	conn    net.Conn
	beat    func()
	seen    int // bytes of the object at hand that were looked at
	depth   int // of braces
	quoted  bool
	escaped bool
}

func (v *values) Read(p []byte) (int, error) {
	if v.seen == 0 {
		v.conn.SetDeadline(time.Now().Add(toDuration(silentFor)))
	}
	return v.from.Read(p)
}

// split is a bufio.SplitFunc.
func (v *values) split(data []byte, atEOF bool) (int, []byte, error) {
	gap := 0
	if v.seen == 0 {
		for gap < len(data) && (data[gap] == ' ' || data[gap] == '\t' || data[gap] == '\r' || data[gap] == '\n') {
			gap++
		}
		if gap > 0 {
			v.beat()
		}
		if gap < len(data) && data[gap] != '{' {
			return 0, nil, fmt.Errorf("malformed list: %q where an object begins", data[gap])
		}
	}
	object := data[gap:]
	for ; v.seen < len(object); v.seen++ {
		c := object[v.seen]
		switch {
		case v.escaped:
			v.escaped = false
		case v.quoted:
			v.escaped, v.quoted = c == '\\', c != '"'
		case c == '"':
			v.quoted = true
		case c == '{':
			v.depth++
		case c == '}':
			if v.depth--; v.depth == 0 {
				n := v.seen + 1
				v.seen = 0
				return gap + n, object[:n], nil
			}
		}
	}
	if atEOF && v.seen > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return gap, nil, nil
}
