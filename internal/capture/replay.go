package capture

import (
	"encoding/json"
	"errors"
	"fmt"

	"lockloom/balance"
	"lockloom/internal/graphcodec"
)

// Player replays the calls in the capture files of one proxy, and compares the actions that each call returns with the
// recorded digest. It is a Visitor. It is not safe for concurrent use.
type Player struct {
	// Before and After are called before and after each call, with the call's pool. Either can be nil.
	Before func(p *Pool, call *Call)
	After  func(p *Pool, call *Call, actions *balance.Actions)
	// Loose makes a replay go on after actions that differ from the recorded ones, as is expected after a change to
	// the balancer's decisions. Otherwise a difference is an error.
	Loose bool
	// Warn receives messages about parts of a file that cannot be replayed. It can be nil.
	Warn func(text string)

	Pools       map[int]*Pool // by number
	FileHead    Head          // head of the last file
	FirstCallAt float64       // s, of the balancers' clock
	LastCallAt  float64       // s, of the balancers' clock
	ReplayCounts

	complete      bool // no calls are missing since the last state block
	unreadable    bool // the state blocks of the file have another layout than those of this build
	filesReplayed int
}

// ReplayCounts count the calls that a Player replayed and skipped.
type ReplayCounts struct {
	Played uint64 // calls replayed
	// Skipped counts the calls after a damaged block up to the next state, calls on pools and requests that the replay
	// does not have, and state blocks before the first file head that can be read.
	Skipped   uint64
	Different uint64 // calls whose actions differed from the recorded ones
	Requests  uint64 // requests that arrived
}

// differenceError is the error for actions that differ from the recorded ones.
type differenceError struct {
	call    *Call
	digest  uint16 // of the actions in the replay
	number  uint64 // of the call, from 1
	pool    string
	actions string // summary of the actions in the replay
}

func (e *differenceError) Error() string {
	return fmt.Sprintf(
		"call %d, %s at %.6f s on pool %q: the actions differ: recorded digest %04x, replayed digest %04x of actions: %s",
		e.number, e.call.Kind, e.call.Now, e.pool, e.call.Digest, e.digest, e.actions)
}

// Play replays files in order. It returns an error if a file cannot be read, if actions differ (unless Loose), or if
// no file has a readable head.
func (p *Player) Play(files []string, open OpenFunc) error {
	if err := readFiles(files, open, p); err != nil {
		return err
	}
	if p.filesReplayed == 0 {
		return errors.New("nothing to replay: no file has a readable head")
	}
	return nil
}

// Head begins the replay of a file and discards the pools of the previous file.
func (p *Player) Head(head Head) error {
	layoutNumber, err := stateLayoutNumber()
	if err != nil {
		return err
	}
	p.FileHead = head
	p.unreadable = head.StateLayout != layoutNumber
	p.complete = false
	p.Pools = map[int]*Pool{}
	p.filesReplayed++
	return nil
}

// State restores a pool from its recorded state.
func (p *Player) State(data []byte) error {
	if p.Pools == nil { // the head could not be read, so the layout of this block is not known
		p.Skipped++
		return nil
	}
	if p.unreadable {
		return fmt.Errorf(
			"recorded by program version %s, whose state blocks have another layout: replay it with that version",
			p.FileHead.Program)
	}
	stored, err := graphcodec.Decode[state](data)
	if err != nil {
		return fmt.Errorf("decode the state of a pool: %w", err)
	}
	pool, err := stored.restore()
	if err != nil {
		return err
	}
	p.Pools[pool.Number] = pool
	p.complete = true
	return nil
}

// Created creates a pool from the parameters in a block. It creates none if no file head could be read so far.
func (p *Player) Created(data []byte) error {
	var c creation
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("decode the creation of a pool: %w", err)
	}
	pool, err := c.create()
	if err != nil {
		return fmt.Errorf("create a pool: %w", err)
	}
	if p.Pools == nil {
		return nil
	}
	p.Pools[pool.Number] = pool
	p.complete = true
	return nil
}

// Gap warns that calls are missing. The states of all pools follow the gap.
func (p *Player) Gap(missed uint64) error {
	p.warn(fmt.Sprintf("at least %d calls are missing before part %d, which begins with the state of all pools",
		missed, p.FileHead.Part))
	return nil
}

// Damaged warns that a block was skipped. The calls after it cannot be replayed until the next state.
func (p *Player) Damaged(offset int64, reason string) error {
	p.warn(fmt.Sprintf("at byte %d: %s; the calls until the next state are not replayed", offset, reason))
	p.complete = false
	return nil
}

func (p *Player) warn(text string) {
	if p.Warn != nil {
		p.Warn(text)
	}
}

// Calls replays the calls of a block.
func (p *Player) Calls(data []byte) error { return decodeCalls(data, p.replay) }

func (p *Player) replay(call *Call) error {
	pool := p.Pools[call.Pool]
	if pool == nil || !p.complete {
		p.Skipped++
		return nil
	}
	if p.Played == 0 {
		p.FirstCallAt = call.Now
	}
	p.LastCallAt = call.Now
	if p.Before != nil {
		p.Before(pool, call)
	}
	actions, known := pool.apply(call)
	if !known {
		p.Skipped++
		return nil
	}
	p.Played++
	if call.Kind == RequestArrived {
		p.Requests++
	}
	if err := p.compare(pool, call, actions); err != nil {
		return err
	}
	if p.After != nil {
		p.After(pool, call, actions)
	}
	return nil
}

// compare compares the digest of the replayed actions with the recorded digest.
func (p *Player) compare(pool *Pool, call *Call, actions *balance.Actions) error {
	replayed := Digest(actions)
	if replayed == call.Digest {
		return nil
	}
	p.Different++
	if p.Loose {
		return nil
	}
	return &differenceError{call, replayed, p.Played, pool.Name, summary(actions)}
}
