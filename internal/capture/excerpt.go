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
	maxReplays = 2000 // limit of replays to shorten one excerpt
	minGroups  = 8    // number of the last groups of calls that keepLastGroups tries first
	notMatched = -1   // returned in place of an index if the event does not occur
)

// ErrNoMatch is the error of Shorten for a capture in which the event does not occur.
var ErrNoMatch = errors.New("the event does not occur in the capture")

// Excerpt is a short sequence of a pool's calls in which an event occurs, as Shorten found it.
type Excerpt struct {
	Deployment balance.Deployment
	CreatedAt  float64 // s, of the balancer's clock: when the pool was created
	Pool       string
	Calls      []Call
	Replays    int // number of replays that Shorten made
}

// Shorten shortens the calls on a pool: it drops the calls after the one with which the Matcher's event occurs, then
// removes requests and other calls as long as the event still occurs (delta debugging). Without the removed calls, an
// attempt may no longer be sent; remaining calls on that attempt have no effect. Shorten returns ErrNoMatch if the
// event does not occur in the capture.
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
	creation *creation // parameters of the pool; nil: not read yet
	calls    []Call
}

// State takes the parameters with which the pool was created from its first stored state. A state that was stored after
// the pool's first request is an error, since an excerpt begins with the creation of the pool.
func (c *collector) State(data []byte) error {
	if err := c.Player.State(data); err != nil {
		return err
	}
	stored, err := graphcodec.Decode[state](data)
	if err != nil {
		return err
	}
	if stored.Name != c.pool || c.creation != nil {
		return nil
	}
	if stored.LastRequest > 0 {
		return errors.New("the capture does not contain the pool's creation, with which an excerpt begins")
	}
	pool, err := stored.restore()
	if err != nil {
		return err
	}
	c.creation = &creation{Pool: stored.Pool, Name: stored.Name, Deployment: pool.Balancer.Deployment()}
	return nil
}

// Created stores the parameters with which the pool was created.
func (c *collector) Created(data []byte) error {
	var created creation
	if err := json.Unmarshal(data, &created); err != nil {
		return err
	}
	if created.Name == c.pool && c.creation == nil {
		c.creation = &created
	}
	return c.Player.Created(data)
}

// Calls collects the pool's calls.
func (c *collector) Calls(data []byte) error {
	return decodeCalls(data, func(call *Call) error {
		if c.creation != nil && call.Pool == c.creation.Pool {
			c.calls = append(c.calls, *call)
		}
		return nil
	})
}

// newPool creates the pool anew, as it was before its first call.
func (e *Excerpt) newPool() (*Pool, error) {
	c := creation{Name: e.Pool, At: e.CreatedAt, Deployment: e.Deployment}
	return c.create()
}

// firstMatch replays calls on a new pool and returns the index of the call with which the event occurs, or notMatched.
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

// pick returns the calls whose indices are in groups, and the first endpoint list, in the order of the capture.
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

// Write writes the excerpt as a capture file, with digests from a replay of the excerpt. The argument program is the
// version of the running program, which the file's head contains.
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

// encodeCalls replays the calls and encodes them, except for calls on requests whose arrival is not in the excerpt:
// these have no effect.
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
