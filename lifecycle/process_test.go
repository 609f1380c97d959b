package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestDrainTimetable(t *testing.T) {
	process := Process{Serving: true}
	process.SetDraining(true, 100)
	process.SetDraining(true, 103) // repeated: the time is that of the first order
	for _, c := range []struct {
		at           float64
		closes       bool
		admits       bool
		idleFraction float64 // to close until 0.1 s later
	}{
		{100, false, true, 0},
		{100.4, false, true, 0},
		{100.51, true, true, 0.09},
		{101.05, true, true, 0.18},
		{101.55, true, true, 1},
		{101.9, true, false, 1},
		{104, true, false, 1},
	} {
		assert.False(t, process.WantsClients(), c.at)
		assert.True(t, process.Ready(), "the process still can serve")
		assert.Equal(t, c.closes, process.ClosesAfterResponse(c.at), c.at)
		assert.Equal(t, c.admits, process.AdmitsRequests(c.at), c.at)
		fraction, includeNew := process.IdleCloseFraction(c.at, 0.1)
		assert.InDelta(t, c.idleFraction, fraction, 0.01, c.at)
		assert.Equal(t, !c.admits, includeNew, c.at)
	}
	process.SetDraining(false, 104.5)
	assert.True(t, process.WantsClients() && process.AdmitsRequests(104.5) && !process.ClosesAfterResponse(104.5))
	fraction, _ := process.IdleCloseFraction(104.5, 0.1)
	assert.Zero(t, fraction)
}

// hotRestart is a model of two processes of one proxy, with messages between them that may be late, or lost with a
// process.
type hotRestart struct {
	processes       [2]Process // the predecessor and the successor
	alive           [2]bool
	linked          bool
	inbox           [2][]AdminState // on the way to each
	servingReported bool            // on the way to the predecessor: the successor takes clients
	now             float64
}

func newHotRestart() *hotRestart {
	m := &hotRestart{alive: [2]bool{true, false}, now: 100}
	m.processes[0].Serving = true
	return m
}

func (m *hotRestart) send(from int) {
	if to := 1 - from; m.linked && m.alive[to] {
		m.inbox[to] = append(m.inbox[to], m.processes[from].Clone())
	}
}

func (m *hotRestart) deliver(to int) {
	if len(m.inbox[to]) > 0 {
		m.processes[to].Merge(m.inbox[to][0])
		m.inbox[to] = m.inbox[to][1:]
	}
}

func (m *hotRestart) deliverAll() {
	for len(m.inbox[0])+len(m.inbox[1]) > 0 {
		m.deliver(0)
		m.deliver(1)
	}
}

// end ends a process, and the link with it.
func (m *hotRestart) end(ended int) {
	m.alive[ended], m.linked, m.inbox = false, false, [2][]AdminState{}
	survivor := &m.processes[1-ended]
	survivor.SuccessorServing, survivor.PredecessorServing, m.servingReported = false, false, false
}

// step makes one random step, if it is possible now.
func (m *hotRestart) step(t *rapid.T) {
	m.now++
	predecessor, successor := &m.processes[0], &m.processes[1]
	both := m.alive[0] && m.alive[1]
	step := rapid.IntRange(0, 9).Draw(t, "step")
	switch {
	case step == 0 && !m.alive[1] && m.alive[0] && predecessor.StoppedAt == 0:
		m.startSuccessor()
	case step == 1 && m.alive[1] && successor.StoppedAt == 0:
		successor.Serving, m.servingReported = true, m.linked
	case step == 2 && m.linked && m.servingReported:
		predecessor.SuccessorServing = true
	case step == 3 && both && successor.Ready(): // it is stopped once the successor is ready
		predecessor.StoppedAt = m.now
	case step == 4 && both && successor.Ready() && predecessor.StoppedAt > 0: // it ends, or is killed
		m.end(0)
	case step == 5 && both && predecessor.StoppedAt == 0: // the successor is killed
		m.end(1)
	case step == 6 || step == 7:
		m.adminCall(t)
	case step >= 8:
		m.deliver(step - 8)
	}
}

func (m *hotRestart) startSuccessor() {
	m.alive[1], m.linked = true, true
	m.processes[1] = Process{PredecessorServing: true}
	m.processes[1].Merge(m.processes[0].Clone())
}

// adminCall makes a random call at either process that is alive.
func (m *hotRestart) adminCall(t *rapid.T) {
	at := rapid.IntRange(0, 1).Draw(t, "endpoint")
	if !m.alive[at] {
		at = 1 - at
	}
	drawAdminCall(t, &m.processes[at].AdminState, m.now)
	m.send(at)
}

func (m *hotRestart) check(t *rapid.T) {
	accepts := false
	for i := range m.processes {
		process := &m.processes[i]
		serves := process.Serving || process.PredecessorServing
		accepts = accepts || m.alive[i] && serves && process.AcceptsConnections()
		if m.alive[i] && process.Drain.On {
			assert.False(t, process.WantsClients(), "drained")
		}
	}
	assert.True(t, accepts, "one of the processes accepts connections")
}

// In every interleaving of a hot restart with drains and disabled servers, one of the two processes accepts connections
// whenever one lives that may, none wants clients while drained, and both hold the same admin state once all messages
// have come.
func TestHotRestartInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newHotRestart()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			model.step(t)
			model.check(t)
		}
		if model.alive[0] && model.alive[1] && model.linked {
			model.deliverAll()
			assert.Equal(t, model.processes[0].AdminState, model.processes[1].AdminState)
		}
	})
}
