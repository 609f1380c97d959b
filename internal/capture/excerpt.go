package capture

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"lockloom/balance"
	"lockloom/internal/graphcodec"
)

// Matcher says whether a replay of calls shows something. It is told every call of a fresh replay, and asked at the end.
type Matcher interface {
	Observe(p *Pool, x *Call, o *balance.Actions)
	Matched() bool
	Request() uint64 // that showed it; 0: none is known
}

const (
	triesMost = 2000 // replays made to shrink an excerpt
	fewest    = 8    // groups of calls, the last ones, that are tried first
)

// ErrNoMatch is an excerpt of what does not show it.
var ErrNoMatch = errors.New("the capture does not show it")

// Excerpt is the shortest that was found of a pool's calls that still shows something.
type Excerpt struct {
	Deployment balance.Deployment
	CreatedAt  float64 // when it was made
	Pool       string
	Calls      []Call
	Replays    int
}

// gatherer gathers one pool's calls of a run, from the pool's making on.
type gatherer struct {
	Player
	pool string
	made *creation
	list []Call
}

func (g *gatherer) State(text []byte) error {
	if err := g.Player.State(text); err != nil {
		return err
	}
	s, err := graphcodec.Read[state](text)
	if err != nil {
		return err
	}
	if s.Name == g.pool && g.made == nil {
		if s.Next > 0 {
			return errors.New("the capture begins in the midst of the pool's life: an excerpt begins with its making")
		}
		pool, err := s.restore()
		if err != nil {
			return err
		}
		g.made = &creation{Pool: s.Pool, Name: s.Name, Deployment: pool.Balancer.Deployment()}
	}
	return nil
}

func (g *gatherer) Created(text []byte) error {
	var b creation
	if err := json.Unmarshal(text, &b); err != nil {
		return err
	}
	if b.Name == g.pool && g.made == nil {
		g.made = &b
	}
	return g.Player.Created(text)
}

func (g *gatherer) Calls(text []byte) error {
	return calls(text, func(x *Call) error {
		if g.made != nil && x.Pool == g.made.Pool {
			g.list = append(g.list, *x)
		}
		return nil
	})
}

// Shorten cuts a capture down: first to the call that shows it, then, by leaving out more and more requests (delta debugging), and other calls,
// as long as what is left shows it too. What an ending was told of an attempt that is not sent any more is passed over.
func Shorten(files []string, open func(string) (io.ReadCloser, error), pool string, shows func() Matcher) (*Excerpt, error) {
	g := &gatherer{pool: pool}
	for _, name := range files {
		f, err := open(name)
		if err != nil {
			return nil, err
		}
		err = Read(f, g)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	if g.made == nil || len(g.list) == 0 {
		return nil, fmt.Errorf("the capture has no calls on a pool %q", pool)
	}
	e := &Excerpt{Deployment: g.made.Deployment, CreatedAt: g.list[0].Now, Pool: pool, Calls: g.list}
	if e.CreatedAt > g.made.At && g.made.At > 0 {
		e.CreatedAt = g.made.At
	}
	end := e.first(e.Calls, shows())
	if end < 0 {
		return nil, ErrNoMatch
	}
	e.Calls = e.Calls[:end+1]
	groups := grouped(e.Calls)
	for n := fewest; n < len(groups); n *= 2 { // what was long before seldom matters
		if last := groups[len(groups)-n:]; e.first(e.pick(last), shows()) >= 0 {
			groups = last
			break
		}
	}
	for size := (len(groups) + 1) / 2; size >= 1 && e.Replays < triesMost; {
		cut := false
		for at := 0; at < len(groups) && e.Replays < triesMost; {
			less := append(append([][]int(nil), groups[:at]...), groups[min(at+size, len(groups)):]...)
			if list := e.pick(less); e.first(list, shows()) >= 0 {
				groups, cut = less, true
				continue
			}
			at += size
		}
		if size == 1 && !cut {
			break
		}
		if !cut {
			size /= 2
		}
		size = min(size, max(len(groups)/2, 1))
	}
	e.Calls = e.pick(groups)
	if end := e.first(e.Calls, shows()); end >= 0 {
		e.Calls = e.Calls[:end+1]
	}
	return e, nil
}

// grouped are calls by what they belong to: a request's together, all others alone; but the first list, which stays.
func grouped(list []Call) (groups [][]int) {
	by := map[uint64]int{}
	for i := range list {
		x := &list[i]
		if x.Kind >= RequestArrived && x.Kind <= RequestTimerFired {
			at, ok := by[x.Request]
			if !ok {
				at = len(groups)
				by[x.Request] = at
				groups = append(groups, nil)
			}
			groups[at] = append(groups[at], i)
		} else if !(x.Kind == EndpointsUpdated && x.First) {
			groups = append(groups, []int{i})
		}
	}
	return groups
}

// pick are the calls of groups, and the first list, in their order.
func (e *Excerpt) pick(groups [][]int) []Call {
	keep := make([]bool, len(e.Calls))
	for _, g := range groups {
		for _, i := range g {
			keep[i] = true
		}
	}
	var out []Call
	for i := range e.Calls {
		if keep[i] || e.Calls[i].Kind == EndpointsUpdated && e.Calls[i].First {
			out = append(out, e.Calls[i])
		}
	}
	return out
}

// first replays calls and tells with which of them it shows; -1: it does not.
func (e *Excerpt) first(list []Call, shows Matcher) int {
	e.Replays++
	p, err := e.fresh()
	if err != nil {
		return -1
	}
	for i := range list {
		x := list[i]
		if o, ok := p.apply(&x); ok {
			if shows.Observe(p, &x, o); shows.Matched() {
				return i
			}
		}
	}
	return -1
}

func (e *Excerpt) fresh() (*Pool, error) {
	b, err := balance.New(e.Deployment, e.CreatedAt)
	if err != nil {
		return nil, err
	}
	return &Pool{Name: e.Pool, Balancer: b, InFlight: map[uint64]*balance.Request{}}, nil
}

// Write writes an excerpt as a capture of its own, with the digests that came of it.
func (e *Excerpt) Write(w io.Writer, program string) error {
	p, err := e.fresh()
	if err != nil {
		return err
	}
	var code coder
	for i := range e.Calls {
		x := e.Calls[i]
		x.Pool = 0
		o, ok := p.apply(&x)
		if !ok {
			continue
		}
		x.Digest = Digest(o)
		code.call(&x)
	}
	head, err := json.Marshal(Head{Format: format, Program: program, Proxy: "excerpt", Began: time.Unix(int64(e.CreatedAt), 0).UTC(), Part: 1})
	if err != nil {
		return err
	}
	made, err := json.Marshal(creation{Name: e.Pool, At: e.CreatedAt, Deployment: e.Deployment})
	if err != nil {
		return err
	}
	out := appendBlock([]byte(magic), blockHead, head)
	out = appendBlock(out, blockBorn, made)
	out = appendBlock(out, blockCalls, newWriter().pack(code.out))
	_, err = w.Write(out)
	return err
}
