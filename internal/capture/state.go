package capture

import (
	"errors"
	"fmt"

	"lockloom/balance"
	"lockloom/internal/graphcodec"
)

// The head of a file identifies the layout of its state blocks by a number. Earlier builds computed that number from
// the names of Go types, so it is kept here together with the hash of the layout that it stands for: names may change,
// but another layout needs another number.
const (
	publishedForm   = 5870707023309409998
	publishedLayout = 17531531265592532747
)

// stateForm returns the number of the layout of state blocks that this build writes. It reads no other layout.
func stateForm() (uint64, error) {
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
	LastRequest uint64                                // number of the last request
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
