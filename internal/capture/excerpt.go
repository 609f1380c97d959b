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

const (
	maxReplays = 2000 // made to shorten an excerpt
	minGroups  = 8    // groups of calls, the last ones, that are tried first
	notMatched = -1
)

// ErrNoMatch is the error of Shorten for a capture in which the event does not occur.
var ErrNoMatch = errors.New("the capture does not show it")

// Excerpt is the shortest sequence of a pool's calls that was found in which an event still occurs.
type Excerpt struct {
	Deployment balance.Deployment
	CreatedAt  float64 // s, when the pool was created
	Pool       string
	Calls      []Call
	Replays    int // made to find it
}

// Shorten cuts the calls of a pool down: first to the call with which the event occurs, then, by leaving out more and
// more requests and other calls (delta debugging), as long as it still occurs. Calls on attempts that are not sent any
// more have no effect. It returns ErrNoMatch if the event does not occur at all.
func Shorten(files []string, open OpenFunc, pool string, newMatcher func() Matcher) (*Excerpt, error) {
	c := &collector{pool: pool}
	if err := readFiles(files, open, c); err != nil {
		return nil, err
	}
	if c.creation == nil || len(c.calls) == 0 {
		return nil, fmt.Errorf("the capture has no calls on a pool %q", pool)
	}
	e := &Excerpt{Deployment: c.creation.Deployment, CreatedAt: c.calls[0].Now, Pool: pool, Calls: c.calls}
	if c.creation.At > 0 && c.creation.At < e.CreatedAt {
		e.CreatedAt = c.creation.At
	}
	s := &shortener{excerpt: e, newMatcher: newMatcher}
	if !s.cutAfterMatch() {
		return nil, ErrNoMatch
	}
	s.groups = groupCalls(e.Calls)
	s.keepLastGroups()
	s.dropGroups()
	e.Calls = e.pick(s.groups)
	s.cutAfterMatch()
	return e, nil
}

// collector collects one pool's calls, from its creation on. It is a Visitor.
type collector struct {
	Player
	pool     string
	creation *creation // nil: not seen yet
	calls    []Call
}

// State takes over the pool's creation, if the state is that of a new one.
func (c *collector) State(text []byte) error {
	if err := c.Player.State(text); err != nil {
		return err
	}
	stored, err := graphcodec.Read[state](text)
	if err != nil {
		return err
	}
	if stored.Name != c.pool || c.creation != nil {
		return nil
	}
	if stored.LastRequest > 0 {
		return errors.New("the capture begins in the midst of the pool's life: an excerpt begins with its making")
	}
	pool, err := stored.restore()
	if err != nil {
		return err
	}
	c.creation = &creation{Pool: stored.Pool, Name: stored.Name, Deployment: pool.Balancer.Deployment()}
	return nil
}

// Created takes over the pool's creation.
func (c *collector) Created(text []byte) error {
	var created creation
	if err := json.Unmarshal(text, &created); err != nil {
		return err
	}
	if created.Name == c.pool && c.creation == nil {
		c.creation = &created
	}
	return c.Player.Created(text)
}

// Calls collects the pool's calls.
func (c *collector) Calls(text []byte) error {
	return decodeCalls(text, func(call *Call) error {
		if c.creation != nil && call.Pool == c.creation.Pool {
			c.calls = append(c.calls, *call)
		}
		return nil
	})
}

// newPool returns the pool as it was created.
func (e *Excerpt) newPool() (*Pool, error) {
	c := creation{Name: e.Pool, At: e.CreatedAt, Deployment: e.Deployment}
	return c.create()
}

// firstMatch replays calls, and returns the index of the one with which the event occurs, or notMatched.
func (e *Excerpt) firstMatch(calls []Call, matcher Matcher) int {
	e.Replays++
	pool, err := e.newPool()
	if err != nil {
		return notMatched
	}
	for i := range calls {
		call := calls[i]
		actions, known := pool.apply(&call)
		if !known {
			continue
		}
		matcher.Observe(pool, &call, actions)
		if matcher.Matched() {
			return i
		}
	}
	return notMatched
}

// pick returns the calls of groups, and the first endpoint list, in their order.
func (e *Excerpt) pick(groups [][]int) []Call {
	picked := make([]bool, len(e.Calls))
	for _, group := range groups {
		for _, i := range group {
			picked[i] = true
		}
	}
	var calls []Call
	for i := range e.Calls {
		if picked[i] || isFirstList(&e.Calls[i]) {
			calls = append(calls, e.Calls[i])
		}
	}
	return calls
}

// Write writes the excerpt as a capture of its own, with the digests of a replay of it.
func (e *Excerpt) Write(w io.Writer, program string) error {
	calls, err := e.encodeCalls()
	if err != nil {
		return err
	}
	head, err := json.Marshal(Head{
		Format:  formatVersion,
		Program: program,
		Proxy:   "excerpt",
		Began:   time.Unix(int64(e.CreatedAt), 0).UTC(),
		Part:    1,
	})
	if err != nil {
		return err
	}
	created, err := json.Marshal(creation{Name: e.Pool, At: e.CreatedAt, Deployment: e.Deployment})
	if err != nil {
		return err
	}
	compressed, err := newCompressor().compress(calls)
	if err != nil {
		return err
	}
	out := appendBlock([]byte(magic), blockHead, head)
	out = appendBlock(out, blockCreation, created)
	out = appendBlock(out, blockCalls, compressed)
	_, err = w.Write(out)
	return err
}

// encodeCalls replays the calls and encodes those that have an effect.
func (e *Excerpt) encodeCalls() ([]byte, error) {
	pool, err := e.newPool()
	if err != nil {
		return nil, err
	}
	var encoder coder
	for i := range e.Calls {
		call := e.Calls[i]
		call.Pool = 0
		actions, known := pool.apply(&call)
		if !known {
			continue
		}
		call.Digest = Digest(actions)
		encoder.call(&call)
	}
	return encoder.out, nil
}
