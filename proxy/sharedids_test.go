package proxy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/internal/hotrestart"
)

// Guards against a change that goes back to the process that has reported it, or that does not reach a third one.
func TestIDChangesAreSentToTheOtherProcesses(t *testing.T) {
	first, second := &hotrestart.Link{}, &hotrestart.Link{}
	p := &Proxy{process: newProcessState()}
	shared := &p.sharedIDs
	shared.init()
	p.shareIDs(idChange{id: hashID("alone")})
	assert.Empty(t, shared.take(), "there is no other process")
	p.process.successors[second] = false
	p.shareIDs(idChange{id: hashID("own"), retention: idRetention{from: 99, until: 103}})
	shared.add(idChange{id: hashID("theirs"), retention: idRetention{until: 102}, origin: first})
	shared.add(idChange{id: hashID("own")})
	changes := shared.take()
	toFirst, toSecond := idUpdate(changes, first, 100), idUpdate(changes, second, 100)
	assert.Len(t, toFirst.RequestIDs, 2)
	assert.Len(t, toSecond.RequestIDs, 3)
	malformed := []hotrestart.RequestID{{Hash: "zz"}, {Hash: "0f"}, {}}
	received := parseIDChanges(append(malformed, toSecond.RequestIDs...), second, 200)
	assert.Equal(t, []idChange{
		{hashID("own"), idRetention{from: 199, until: 203}, second},
		{hashID("theirs"), idRetention{from: 100, until: 202}, second},
		{hashID("own"), idRetention{from: 200, until: 200}, second},
	}, received)
	assert.Empty(t, shared.take())
}

func TestIDChangesAreBounded(t *testing.T) {
	shared := sharedIDs{}
	shared.init()
	for range maxRetainedIDs + 5 {
		shared.add(idChange{})
	}
	assert.Len(t, shared.take(), maxRetainedIDs)
}
