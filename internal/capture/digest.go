package capture

import (
	"math"

	"lockloom/balance"
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Each kind of action adds its own mark to the numbers that are hashed, so that equal numbers of different kinds differ
// in the digest.
const (
	healthCheckMark = 1 << 40
	closeIdleMark   = 1 << 41
	gossipMark      = 1 << 42
	subscribeMark   = 1 << 43
)

// digest is a hash of 64-bit numbers: FNV-1a by words instead of bytes, with an additional shift.
type digest uint64

func (d *digest) add(n uint64) {
	hash := (uint64(*d) ^ n) * fnvPrime
	hash ^= hash >> 29
	*d = digest(hash)
}

func (d *digest) addFloat(f float64) { d.add(math.Float64bits(f)) }

func (d *digest) addRequest(action *balance.RequestAction) {
	d.add(uint64(action.Ref)<<8 | uint64(action.Reply))
	if action.Send {
		d.add(uint64(action.Endpoint)<<1 | 1)
		d.addFloat(action.Deadline)
	}
	d.add(uint64(action.CancelAttempt))
	d.addFloat(action.RetryAfter)
	d.addFloat(action.WakeAt)
}

func (d *digest) addGossip(peer int, message *balance.GossipMessage) {
	d.add(uint64(peer) + gossipMark)
	d.addFloat(message.Rate)
	for _, o := range message.Observations {
		d.add(uint64(o.NameHash) ^ math.Float64bits(o.Value) ^ uint64(o.Class)<<48)
	}
}

// Digest returns a 16-bit hash of actions: equal actions have equal digests, and different actions have the same digest
// with a probability of 1 in 65,536. The digest of nil is 0.
func Digest(actions *balance.Actions) uint16 {
	if actions == nil {
		return 0
	}
	d := digest(fnvOffset)
	for i := range actions.Requests {
		d.addRequest(&actions.Requests[i])
	}
	for _, i := range actions.HealthChecks {
		d.add(uint64(i) + healthCheckMark)
	}
	for _, i := range actions.CloseIdle {
		d.add(uint64(i) + closeIdleMark)
	}
	if actions.Gossip != nil {
		d.addGossip(actions.GossipPeer, actions.Gossip)
	}
	if actions.Subscribe {
		d.add(subscribeMark)
	}
	d.addFloat(actions.WakeAt)
	hash := uint64(d)
	return uint16(hash ^ hash>>16 ^ hash>>32 ^ hash>>48)
}
