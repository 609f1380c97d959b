package capture

import (
	"encoding/json"
	"errors"
	"fmt"

	"lockloom/balance"
	"lockloom/internal/graphcodec"
)

// Player replays the calls of captures, file after file of one proxy, and compares what each returns with what was
// recorded. It is a Visitor. It is used by one goroutine.
type Player struct {
	// Before and After are called around each call with the pool that it is on; nil: nothing is.
	Before func(p *Pool, call *Call)
	After  func(p *Pool, call *Call, actions *balance.Actions)
	// Loose replays on after actions that differ, as when other decisions are tried; otherwise they are an error.
	Loose bool
	// Warn receives what cannot be replayed, and from where; nil: nobody does.
	Warn func(text string)

	Pools       map[int]*Pool // by number
	FileHead    Head          // of the last file
	FirstCallAt float64       // s, of the balancers' clock
	LastCallAt  float64
	ReplayCounts

	complete      bool // since the last state nothing is missing
	unreadable    bool // the file has state blocks of another form
	filesReplayed int
}

// ReplayCounts count what a Player replayed.
type ReplayCounts struct {
	Played    uint64 // calls
	Skipped   uint64 // calls before a state, and on unknown requests
	Different uint64 // calls whose actions differ, if Loose
	Requests  uint64
}

// differenceError is the error for actions that differ from those recorded.
type differenceError struct {
	call    *Call
	digest  uint16 // of the actions in replay
	number  uint64 // of the call, from 1
	pool    string
	actions string
}

func (e *differenceError) Error() string {
	return fmt.Sprintf(
		"call %d, %s at %.6f on pool %q: the actions differ: digest %04x was recorded, %04x came of it: %s",
		e.number, e.call.Kind, e.call.Now, e.pool, e.call.Digest, e.digest, e.actions)
}

// Play replays files in order. It returns an error if a file cannot be read, if actions differ (unless Loose), or if
// there is nothing to replay.
func (p *Player) Play(files []string, open OpenFunc) error {
	if err := readFiles(files, open, p); err != nil {
		return err
	}
	if p.filesReplayed == 0 {
		return errors.New("there is nothing to replay")
	}
	return nil
}

// Head begins a file.
func (p *Player) Head(head Head) error {
	form, err := stateForm()
	if err != nil {
		return err
	}
	p.FileHead = head
	p.unreadable = head.Module != form
	p.complete = false
	p.Pools = map[int]*Pool{}
	p.filesReplayed++
	return nil
}

// State takes over a pool as it was.
func (p *Player) State(text []byte) error {
	if p.Pools == nil { // the head cannot be read, so the form of this block is not known
		p.Skipped++
		return nil
	}
	if p.unreadable {
		return fmt.Errorf(
			"it was made by a program (%s) whose decisions have another form of state: replay it with that one",
			p.FileHead.Program)
	}
	stored, err := graphcodec.Read[state](text)
	if err != nil {
		return fmt.Errorf("a pool's state: %w", err)
	}
	pool, err := stored.restore()
	if err != nil {
		return err
	}
	p.Pools[pool.Number] = pool
	p.complete = true
	return nil
}

// Created creates a pool.
func (p *Player) Created(text []byte) error {
	var c creation
	if err := json.Unmarshal(text, &c); err != nil {
		return fmt.Errorf("a pool as it was made: %w", err)
	}
	pool, err := c.create()
	if err != nil {
		return fmt.Errorf("a pool as it was made: %w", err)
	}
	if p.Pools == nil {
		return nil
	}
	p.Pools[pool.Number] = pool
	p.complete = true
	return nil
}

// Gap warns that calls are missing; a state follows.
func (p *Player) Gap(missed uint64) error {
	p.warn(fmt.Sprintf("%d calls or more are missing before part %d, which begins with a state of its own",
		missed, p.FileHead.Part))
	return nil
}

// Broken warns of a block that was skipped. What follows cannot be replayed until the next state.
func (p *Player) Broken(offset int64, reason string) error {
	p.warn(fmt.Sprintf("at byte %d: %s; what follows is not replayed until the next state", offset, reason))
	p.complete = false
	return nil
}

func (p *Player) warn(text string) {
	if p.Warn != nil {
		p.Warn(text)
	}
}

// Calls replays the calls of a block.
func (p *Player) Calls(text []byte) error { return decodeCalls(text, p.replay) }

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

// compare checks the actions in replay against those recorded.
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
