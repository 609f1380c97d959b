package capture

import (
	"errors"
	"fmt"

	"lockloom/balance"
	"lockloom/internal/graphcodec"
)

// The head of a file identifies the form of its state blocks by a number. The number was once computed from the names
// of Go types, so it is kept here together with the layout that it stands for: names may change, but another layout
// needs another number.
const (
	publishedForm   = 5870707023309409998
	publishedLayout = 17531531265592532747
)

// stateForm returns the number of the form in which this build writes state blocks, the only one that it reads.
func stateForm() (uint64, error) {
	layout, err := graphcodec.Layout[state]()
	if err == nil && layout == publishedLayout {
		return publishedForm, nil
	}
	return layout, err
}

// state is the stored form of a pool, with which a segment begins. Its layout is published.
type state struct {
	Pool        int
	Name        string
	Balancer    *balance.Checkpoint
	Requests    map[uint64]*balance.RequestCheckpoint // in flight, by number
	LastRequest uint64                                // number of the last request
}

// restore returns the pool of a stored state.
func (s *state) restore() (*Pool, error) {
	if s.Balancer == nil {
		return nil, errors.New("a pool's state: it has none")
	}
	b, requests, err := s.Balancer.Restore(s.Requests)
	if err != nil {
		return nil, fmt.Errorf("a pool's state: %w", err)
	}
	return &Pool{Number: s.Pool, Name: s.Name, Balancer: b, InFlight: requests}, nil
}

// creation tells how a pool was created. Files can have it in place of a state.
type creation struct {
	Pool       int                `json:"pool"`
	Name       string             `json:"name"`
	At         float64            `json:"at"` // s, of the balancer's clock
	Deployment balance.Deployment `json:"deployment"`
}

// create returns the pool, new.
func (c *creation) create() (*Pool, error) {
	b, err := balance.New(c.Deployment, c.At)
	if err != nil {
		return nil, err
	}
	return &Pool{Number: c.Pool, Name: c.Name, Balancer: b, InFlight: map[uint64]*balance.Request{}}, nil
}
