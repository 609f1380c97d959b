package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestBanned(t *testing.T) {
	for _, c := range []struct {
		name    string
		say     func(o *AdminState)
		started float64 // as the list tells
		banned  bool
		counts  float64 // as started then
	}{
		{"never named", func(o *AdminState) {}, 7, false, 7},
		{"disabled", func(o *AdminState) { o.Disable("a", 10) }, 7, true, 7},
		{"disabled, restarted meanwhile: told as new once enabled, not before", func(o *AdminState) { o.Disable("a", 10) }, 12, true, 10},
		{"enabled, no start told: as cold as can be", func(o *AdminState) { o.Disable("a", 10); o.Enable("a", 20) }, 0, false, 20},
		{"enabled, an old start told", func(o *AdminState) { o.Disable("a", 10); o.Enable("a", 20) }, 7, false, 20},
		{"enabled, its start told", func(o *AdminState) { o.Disable("a", 10); o.Enable("a", 20) }, 12, false, 12},
		{"disabled twice, enabled once", func(o *AdminState) { o.Disable("a", 10); o.Disable("a", 11); o.Enable("a", 20) }, 10.5, false, 10.5},
		{"enabled twice", func(o *AdminState) { o.Disable("a", 10); o.Enable("a", 20); o.Enable("a", 30) }, 0, false, 20},
		{"enabled without a ban", func(o *AdminState) { o.Enable("a", 20) }, 7, false, 7},
		{"disabled again", func(o *AdminState) { o.Disable("a", 10); o.Enable("a", 20); o.Disable("a", 30) }, 0, true, 0},
		{"another", func(o *AdminState) { o.Disable("b", 10) }, 7, false, 7},
	} {
		var o AdminState
		c.say(&o)
		banned, counts := o.Disabled("a", c.started)
		assert.Equal(t, c.banned, banned, c.name)
		assert.Equal(t, c.counts, counts, c.name)
	}
}

func TestDrainTimes(t *testing.T) {
	l := Process{Serving: true}
	l.SetDraining(true, 100)
	l.SetDraining(true, 103) // repeated: the time is that of the first
	for _, c := range []struct {
		at            float64
		closes, takes bool
		idle          float64 // share closed until 0.1 s later
	}{{100, false, true, 0}, {100.4, false, true, 0}, {100.51, true, true, 0.09}, {101.05, true, true, 0.18}, {101.55, true, true, 1},
		{101.9, true, false, 1}, {104, true, false, 1}} {
		assert.False(t, l.WantsClients(), c.at)
		assert.True(t, l.Ready(), "the process still can")
		assert.Equal(t, c.closes, l.ClosesAfterResponse(c.at), c.at)
		assert.Equal(t, c.takes, l.AdmitsRequests(c.at), c.at)
		share, fresh := l.IdleCloseFraction(c.at, 0.1)
		assert.InDelta(t, c.idle, share, 0.01, c.at)
		assert.Equal(t, !c.takes, fresh, c.at)
	}
	l.SetDraining(false, 104.5)
	assert.True(t, l.WantsClients() && l.AdmitsRequests(104.5) && !l.ClosesAfterResponse(104.5))
	share, _ := l.IdleCloseFraction(104.5, 0.1)
	assert.Zero(t, share)
}

func TestIDs(t *testing.T) {
	s := NewIDSet(3)
	for i := range uint64(5) {
		s.Add(i)
		s.Add(i)
		s.Add(0)
	}
	assert.Equal(t, []uint64{3, 0, 4}, s.All(), "0 was added again after it was forgotten")
	assert.True(t, s.Has(4) && !s.Has(1))
}

// What two processes hold comes to the same whatever way and how often their orders pass; a ban that was said last holds at both.
func TestMergeSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all [3]AdminState
		some := func() *AdminState { return &all[rapid.IntRange(0, 2).Draw(t, "process")] }
		for i := range rapid.IntRange(1, 12).Draw(t, "orders") {
			call(t, some(), float64(10+i))
			some().Merge(some().Clone())
		}
		want := AdminState{}
		for id, of := range map[string]func(*AdminState) Switch{"": func(o *AdminState) Switch { return o.Drain },
			"a": func(o *AdminState) Switch { return o.Servers["a"] }, "b": func(o *AdminState) Switch { return o.Servers["b"] }} {
			last := of(&all[0])
			for i := range all {
				if o := of(&all[i]); o.ChangedAt > last.ChangedAt {
					last = o
				}
			}
			if id == "" {
				want.Drain = last
			} else if last.ChangedAt > 0 {
				want.set(id, last)
			}
		}
		for range 2 {
			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
				for j := range all {
					all[i].Merge(all[j].Clone())
				}
			}
		}
		for i := range all {
			assert.Equal(t, want, all[i], "what was said last")
			assert.False(t, all[i].Merge(all[(i+1)%3]), "nothing is news any more")
		}
	})
}

// call gives some order.
func call(t *rapid.T, o *AdminState, now float64) {
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
	rapid.SampledFrom([]func(){func() { o.Disable(id, now) }, func() { o.Enable(id, now) },
		func() { o.SetDraining(true, now) }, func() { o.SetDraining(false, now) }}).Draw(t, "call")()
}

// model is two processes of one proxy in an upgrade, with messages between them that may be late or lost with a process.
type model struct {
	lives  [2]Process
	alive  [2]bool
	linked bool
	queue  [2][]AdminState // on the way to each
	serves bool            // on the way to the old one: the new one takes clients
}

// In every interleaving of an upgrade, drains and bans: one of the two takes clients whenever one lives that may, a disabled server
// is disabled at whoever serves once messages have come, and nobody is up while drained.
func TestUpgradeInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{alive: [2]bool{true, false}}
		m.lives[0].Serving = true
		now := 100.0
		say := func(from int) {
			if to := 1 - from; m.linked && m.alive[to] {
				m.queue[to] = append(m.queue[to], m.lives[from].AdminState.Clone())
			}
		}
		deliver := func(to int) {
			if len(m.queue[to]) > 0 {
				m.lives[to].Merge(m.queue[to][0])
				m.queue[to] = m.queue[to][1:]
			}
		}
		unlink := func(dead int) {
			m.alive[dead], m.linked, m.queue = false, false, [2][]AdminState{}
			m.lives[1-dead].SuccessorServing, m.lives[1-dead].PredecessorServing, m.serves = false, false, false
		}
		old, next := &m.lives[0], &m.lives[1]
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now++
			both := m.alive[0] && m.alive[1]
			step := rapid.IntRange(0, 9).Draw(t, "step")
			switch {
			case step == 0 && !m.alive[1] && m.alive[0] && old.StoppedAt == 0: // the new one starts and asks
				m.alive[1], m.linked = true, true
				*next = Process{PredecessorServing: true}
				next.Merge(old.AdminState.Clone())
			case step == 1 && m.alive[1] && next.StoppedAt == 0: // it serves
				next.Serving, m.serves = true, m.linked
			case step == 2 && m.linked && m.serves:
				old.SuccessorServing = true
			case step == 3 && both && next.Ready(): // the old one is told to go, once the new one has said yes
				old.StoppedAt = now
			case step == 4 && both && next.Ready() && old.StoppedAt > 0: // and goes; or either is killed
				unlink(0)
			case step == 5 && both && old.StoppedAt == 0:
				unlink(1)
			case step == 6 || step == 7: // a call at whichever door
				at := rapid.IntRange(0, 1).Draw(t, "door")
				if !m.alive[at] {
					at = 1 - at
				}
				call(t, &m.lives[at].AdminState, now)
				say(at)
			case step >= 8:
				deliver(step - 8)
			}
			accepts := false
			for i := range m.lives {
				l := &m.lives[i]
				accepts = accepts || m.alive[i] && (l.Serving || l.PredecessorServing) && l.AcceptsConnections()
				if m.alive[i] && l.Drain.On {
					assert.False(t, l.WantsClients(), "drained")
				}
			}
			assert.True(t, accepts, "somebody accepts")
		}
		if m.alive[0] && m.alive[1] && m.linked {
			for len(m.queue[0])+len(m.queue[1]) > 0 {
				deliver(0)
				deliver(1)
			}
			assert.Equal(t, old.AdminState, next.AdminState)
		}
	})
}
