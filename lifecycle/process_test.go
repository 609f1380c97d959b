package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestDrainTimetable(t *testing.T) {
	process := Process{Serving: true}
	process.SetDraining(true, 100)
	process.SetDraining(true, 103) // a repeated call does not change the time
	for _, c := range []struct {
		at           float64
		closes       bool
		admits       bool
		idleFraction float64 // of idle connections to close within the next 0.1 s
	}{
		{100, false, true, 0},
		{100.4, false, true, 0},
		{100.51, true, true, 0.09},
		{101.05, true, true, 0.18},
		{101.55, true, true, 1},
		{101.9, true, false, 1},
		{104, true, false, 1},
	} {
		assert.False(t, process.AcceptsNewClients(), c.at)
		assert.True(t, process.Ready(), "a drain does not change readiness")
		assert.Equal(t, c.closes, process.ClosesAfterResponse(c.at), c.at)
		assert.Equal(t, c.admits, process.AdmitsRequests(c.at), c.at)
		fraction, includeNew := process.IdleCloseFraction(c.at, 0.1)
		assert.InDelta(t, c.idleFraction, fraction, 0.01, c.at)
		assert.Equal(t, !c.admits, includeNew, c.at)
	}
	process.SetDraining(false, 104.5)
	assert.True(t, process.AcceptsNewClients() && process.AdmitsRequests(104.5) && !process.ClosesAfterResponse(104.5))
	fraction, _ := process.IdleCloseFraction(104.5, 0.1)
	assert.Zero(t, fraction)
}

// hotRestart models the two processes of a proxy during a hot restart. Messages between them may be delayed, and are
// lost when a process ends.
type hotRestart struct {
	processes       [2]Process // the predecessor and the successor
	alive           [2]bool
	connected       bool            // the processes can exchange messages
	inbox           [2][]AdminState // undelivered messages to each process
	servingReported bool            // the successor has sent the predecessor the message that it serves
	now             float64
}

func newHotRestart() *hotRestart {
	m := &hotRestart{alive: [2]bool{true, false}, now: 100}
	m.processes[0].Serving = true
	return m
}

func (m *hotRestart) send(from int) {
	if to := 1 - from; m.connected && m.alive[to] {
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

// end ends a process, and with it the connection between the two.
func (m *hotRestart) end(ended int) {
	m.alive[ended], m.connected, m.inbox = false, false, [2][]AdminState{}
	survivor := &m.processes[1-ended]
	survivor.SuccessorServing, survivor.PredecessorServing, m.servingReported = false, false, false
}

// step makes one random step, if it is possible in the current state.
func (m *hotRestart) step(t *rapid.T) {
	m.now++
	predecessor, successor := &m.processes[0], &m.processes[1]
	both := m.alive[0] && m.alive[1]
	step := rapid.IntRange(0, 9).Draw(t, "step")
	switch {
	case step == 0 && !m.alive[1] && m.alive[0] && predecessor.StoppedAt == 0:
		m.startSuccessor()
	case step == 1 && m.alive[1] && successor.StoppedAt == 0:
		successor.Serving, m.servingReported = true, m.connected
	case step == 2 && m.connected && m.servingReported:
		predecessor.SuccessorServing = true
	case step == 3 && both && successor.Ready(): // the predecessor is stopped once the successor is ready
		predecessor.StoppedAt = m.now
	case step == 4 && both && successor.Ready() && predecessor.StoppedAt > 0: // the predecessor ends, or is killed
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
	m.alive[1], m.connected = true, true
	m.processes[1] = Process{PredecessorServing: true}
	m.processes[1].Merge(m.processes[0].Clone())
}

// adminCall makes a random admin call at one of the running processes.
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
			assert.False(t, process.AcceptsNewClients(), "a drained proxy must not want clients")
		}
	}
	assert.True(t, accepts, "one of the processes must accept connections")
}

// For any interleaving of a hot restart with admin calls: one of the two processes must accept connections, neither may
// want clients while the proxy is drained, and both must have the same admin state once all messages are delivered.
func TestHotRestartInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newHotRestart()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			model.step(t)
			model.check(t)
		}
		if model.alive[0] && model.alive[1] && model.connected {
			model.deliverAll()
			assert.Equal(t, model.processes[0].AdminState, model.processes[1].AdminState)
		}
	})
}
