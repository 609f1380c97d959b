package main

import (
	"lockloom/balance"
	"lockloom/internal/settings"
)

// balancerTimer is the label of a balancer's own timer.
const balancerTimer = 0

// timerLabel returns the label of a request's timer.
func timerLabel(ref int) int { return ref + 1 }

// refOfTimer returns the request that a timer's label is of.
func refOfTimer(label int) int { return label - 1 }

// instance is one balancer, with the simulator's names of its servers and requests.
type instance struct {
	balancer *balance.Balancer
	names    *settings.Registry
	refs     map[string]int // requests by ID
	slots    []slot         // by the request's Ref
	free     []int          // slots without a request
}

// slot holds a request from its arrival until nothing of it is in flight.
type slot struct {
	id      string
	request *balance.Request
}

func newInstance(balancer *balance.Balancer, names *settings.Registry) *instance {
	return &instance{balancer: balancer, names: names, refs: map[string]int{}}
}

// has reports whether a request is held.
func (in *instance) has(id string) bool {
	_, ok := in.refs[id]
	return ok
}

// add returns the Ref of a new request.
func (in *instance) add(id string) int {
	ref := len(in.slots)
	if n := len(in.free); n > 0 {
		ref = in.free[n-1]
		in.free = in.free[:n-1]
	} else {
		in.slots = append(in.slots, slot{})
	}
	in.refs[id] = ref
	in.slots[ref].id = id
	return ref
}

// release frees a request's slot if nothing of it is in flight.
func (in *instance) release(ref int) {
	s := &in.slots[ref]
	if s.request != nil && s.request.Done() {
		delete(in.refs, s.id)
		*s = slot{}
		in.free = append(in.free, ref)
	}
}
