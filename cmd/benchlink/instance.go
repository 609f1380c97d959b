package main

import (
	"lockloom/balance"
	"lockloom/internal/settings"
)

// balancerTimer is the label of the timer of an instance's balancer. The labels of the requests' timers start at 1.
const balancerTimer = 0

// timerLabel returns the label of the timer of the request with a Ref. It adds 1 because 0 is balancerTimer.
func timerLabel(ref int) int { return ref + 1 }

// refOfLabel returns the Ref of the request that a timer label belongs to.
func refOfLabel(label int) int { return label - 1 }

// instance is the balancer of one simulated proxy, with the simulator's names for its servers and requests.
type instance struct {
	balancer *balance.Balancer
	registry *settings.Registry
	refs     map[string]int // the Ref of each request (its index in slots), by the simulator's id
	slots    []slot         // by the request's Ref
	free     []int          // Refs of the slots without a request
}

// slot holds a request from its arrival until the request has ended and none of its attempts is in flight.
type slot struct {
	id      string
	request *balance.Request
}

func newInstance(balancer *balance.Balancer, registry *settings.Registry) *instance {
	return &instance{balancer: balancer, registry: registry, refs: map[string]int{}}
}

// has reports whether a request has a slot.
func (in *instance) has(id string) bool {
	_, ok := in.refs[id]
	return ok
}

// add gives a new request a slot and returns its Ref.
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

// release frees a request's slot if the request has ended and none of its attempts is in flight.
func (in *instance) release(ref int) {
	s := &in.slots[ref]
	if s.request != nil && s.request.Done() {
		delete(in.refs, s.id)
		*s = slot{}
		in.free = append(in.free, ref)
	}
}
