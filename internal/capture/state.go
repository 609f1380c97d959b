package capture

import (
	"errors"
	"fmt"

	"lockloom/balance"
	"lockloom/internal/graphcodec"
)

// The head of a file identifies the layout of its state blocks by a number. For the current layout, publishedForm is
// that number, and publishedLayout is the hash that graphcodec.Layout computes. The two differ because earlier builds
// computed the number from the names of Go types. The names may change, but another layout needs another number.
const (
	publishedForm   = 5870707023309409998
	publishedLayout = 17531531265592532747
)

// stateLayoutNumber returns the number that identifies the layout of the state blocks of this build, which reads state
// blocks of no other layout.
func stateLayoutNumber() (uint64, error) {
	layout, err := graphcodec.Layout[state]()
	if err == nil && layout == publishedLayout {
		return publishedForm, nil
	}
	return layout, err
}

// state is the stored state of a pool. Each segment begins with the states of all pools. The layout of the type is part
// of the file format, see publishedLayout.
type state struct {
	Pool        int
	Name        string
	Balancer    *balance.Checkpoint
	Requests    map[uint64]*balance.RequestCheckpoint // in flight, by number
	LastRequest uint64                                // number of the request that arrived last; 0: none
}

// restore returns a pool in the stored state.
func (s *state) restore() (*Pool, error) {
	if s.Balancer == nil {
		return nil, errors.New("state of a pool: it contains no balancer")
	}
	b, requests, err := s.Balancer.Restore(s.Requests)
	if err != nil {
		return nil, fmt.Errorf("restore the state of a pool: %w", err)
	}
	return &Pool{Number: s.Pool, Name: s.Name, Balancer: b, InFlight: requests}, nil
}

// creation holds the parameters with which a pool was created. A file can contain it in place of a state.
type creation struct {
	Pool       int                `json:"pool"`
	Name       string             `json:"name"`
	At         float64            `json:"at"` // s, of the balancer's clock
	Deployment balance.Deployment `json:"deployment"`
}

// create returns a new pool with these parameters.
func (c *creation) create() (*Pool, error) {
	b, err := balance.New(c.Deployment, c.At)
	if err != nil {
		return nil, err
	}
	return &Pool{Number: c.Pool, Name: c.Name, Balancer: b, InFlight: map[uint64]*balance.Request{}}, nil
}
