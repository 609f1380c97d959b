package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
	"lockloom/internal/settings"
)

// BurstInterval constant of the virtual world.
const (
	epoch          = 1000.0 // the clock at the start: a server that starts then has not been up for long
	wireDelay      = 0.0001 // s one way between proxy and server, or client
	listDelay      = 0.02   // s from a change of the list to a proxy's being told
	muteDuration   = 3.1    // s until a proxy has a watch again that fell silent
	reconnectDelay = 0.05   // s until a client that found no proxy looks again
	killMargin     = 0.7    // s past the longest deadline that a proxy has, once told to stop
	startDuration  = 0.2    // s until a started proxy serves
)

// virtualRun is a run in virtual time.
type virtualRun struct {
	scenario           *Scenario
	settings           settings.Settings
	policy             Policy
	seed               uint64
	now                float64
	agenda             agenda
	plan               loadgen.Source
	nextIntent         loadgen.Intent
	clients            loadgen.Clients
	rand               *rand.Rand
	fleet              *emulator.Fleet
	nextEventAt        []float64 // by member: when an eventServerDue is due
	silentAttempts     [][]int32 // by member: attempts that were lost on their way, until its connections are reset
	timeline           []TimelineEntry
	proxies            []*virtualProxy
	nextProxy          int
	tries              []try
	freeTries          []int32
	attempts           []attempt
	freeAttempts       []int32
	zones              map[string]int
	models             map[string]int
	audit              *Audit
	tally              *tally
	attemptsThisSecond int
	err                error
}

// Virtual plays a scenario in virtual time with one of the policies. The same seed gives the same run.
func (s *Scenario) Virtual(name string, policy Policy, seed uint64) (*Result, error) {
	return s.VirtualOf(name, policy, seed, loadgen.NewPlan(s.Workload(), seed))
}

// VirtualOf plays it with other requests than its own.
func (s *Scenario) VirtualOf(name string, policy Policy, seed uint64, requests loadgen.Source) (*Result, error) {
	began := time.Now()
	f := s.Settings(seed)
	v := &virtualRun{scenario: s, settings: f, policy: policy, seed: seed, now: epoch, plan: requests,
		clients: loadgen.Clients(s.Clients), rand: rand.New(rand.NewPCG(seed, 4)), fleet: s.Fleet(seed, epoch), zones: map[string]int{},
		models: map[string]int{}, audit: NewAudit(f.Classes, 2*wireDelay+1e-6, s.Deployment.DrainGrace, s.Deployment.NotificationDeadline),
		tally: newTally(s, f.Classes, seed, name, "virtual")}
	for i, z := range f.Zones {
		v.zones[z] = i
	}
	for range s.ProxyFleet.Count {
		v.proxies = append(v.proxies, &virtualProxy{})
	}
	for i := range v.proxies {
		if v.start(i); v.err != nil {
			return nil, v.err
		}
	}
	v.addMembers()
	for _, h := range s.Timeline() {
		v.schedule(h)
	}
	for at := 1.0; at <= math.Ceil(s.Seconds); at++ {
		v.agenda.add(event{at: epoch + at, what: eventSecondEnds})
	}
	v.scheduleIntent()
	end := epoch + s.Seconds + 2*s.longest()
	for len(v.agenda.list) > 0 && v.agenda.list[0].at <= end && v.err == nil {
		e := v.agenda.next()
		v.now = e.at
		v.play(e)
	}
	v.audit.Close(end + 1)
	r := v.tally.result(v.fleet, v.audit)
	r.WallTime = time.Since(began).Seconds()
	return r, v.err
}

// maxLatencyMicros is the longest deadline.
func (s *Scenario) longest() float64 {
	longest := 0.0
	for _, t := range s.Classes {
		longest = max(longest, t.Deadline)
	}
	return longest
}

func (v *virtualRun) play(e event) {
	switch e.what {
	case eventIntentDue:
		in := v.nextIntent
		v.scheduleIntent()
		v.tally.intentDue(v.now-epoch, &in)
		v.try(in, 1)
	case eventConnect:
		v.connect(e.a)
	case eventClientLeaves:
		v.clientLeaves(e.a, e.gen)
	case eventRequestTimer:
		if t := &v.tries[e.a]; t.gen == e.gen && t.handle != nil {
			v.carryOut(t.proxy, t.pool, t.handle.TimerFired(v.now))
			v.release(e.a)
		}
	case eventDeciderTimer:
		if p := v.proxies[e.a]; p.incarnation == e.gen && p.alive {
			v.carryOut(e.a, e.b, p.pools[e.b].TimerFired(v.now))
		}
	case eventAttemptArrives:
		if v.attempts[e.a].gen == e.gen {
			v.attemptArrives(e.a)
		}
	case eventAttemptEnds:
		if v.attempts[e.a].gen == e.gen {
			v.attemptEnds(e.a, balance.Outcome(e.b))
		}
	case eventServerDue:
		if m := int(e.a); v.nextEventAt[m] == e.at {
			v.nextEventAt[m] = never
			v.reconcile(m, v.fleet.Members[m].Advance(v.now))
		}
	case eventTimelineEntry:
		v.applyEntry(v.timeline[e.a])
	case eventProxyNotified:
		v.notifyProxy(int(e.a))
	case eventProxyStarts:
		v.start(int(e.a))
	case eventSecondEnds:
		for i, m := range v.fleet.Members {
			v.reconcile(i, m.Advance(v.now))
		}
		v.tally.endSecond(v.now-epoch-1, v.fleet, v.attemptsThisSecond)
		v.attemptsThisSecond = 0
	}
}

// scheduleIntent plans the next request.
func (v *virtualRun) scheduleIntent() {
	if in, ok := v.plan.Next(); ok {
		v.nextIntent = in
		v.agenda.add(event{at: epoch + in.At, what: eventIntentDue})
	}
}

func (v *virtualRun) schedule(h TimelineEntry) {
	v.timeline = append(v.timeline, h)
	v.agenda.add(event{at: epoch + h.At, what: eventTimelineEntry, a: int32(len(v.timeline) - 1)})
}

// reconcile takes in what came of a call on a member.
func (v *virtualRun) reconcile(i int, ends []emulator.Completion) {
	v.carryOutEffect(v.fleet.Reconcile(i, ends))
}

func (v *virtualRun) carryOutEffect(e emulator.Effect) {
	v.addMembers()
	m := v.fleet.Members[e.Member]
	for _, end := range e.Completions {
		g := int32(end.Ref)
		l := &v.attempts[g]
		if end.Outcome == balance.ServerRejected {
			v.audit.AttemptRejected(v.tries[l.try].id)
		}
		switch {
		case l.closed: // noObserver waits for it
			l.received = false
			v.freed(g)
		case m.Reachability() == emulator.Unreachable:
			l.received = false
			v.silentAttempts[e.Member] = append(v.silentAttempts[e.Member], g)
		default:
			l.received, l.work = false, end.Work
			v.agenda.add(event{at: v.now + wireDelay, what: eventAttemptEnds, a: g, b: int32(end.Outcome), gen: l.gen})
		}
	}
	if e.ResetConnections {
		v.reset(e.Member)
	}
	if e.ListChanged {
		v.listChanged()
	}
	if next := m.NextEvent(); next < v.nextEventAt[e.Member] {
		v.nextEventAt[e.Member] = next
		v.agenda.add(event{at: next, what: eventServerDue, a: int32(e.Member)})
	}
}

// addMembers makes room for new members.
func (v *virtualRun) addMembers() {
	for len(v.nextEventAt) < len(v.fleet.Members) {
		v.nextEventAt, v.silentAttempts = append(v.nextEventAt, never), append(v.silentAttempts, nil)
		i := len(v.nextEventAt) - 1
		if next := v.fleet.Members[i].NextEvent(); next < never {
			v.nextEventAt[i] = next
			v.agenda.add(event{at: next, what: eventServerDue, a: int32(i)})
		}
	}
}

// reset ends all connections to a member.
func (v *virtualRun) reset(member int) {
	if m := v.fleet.Members[member]; m.Crashes > 0 && m.Reachability() == emulator.Refusing && m.State != balance.Removed {
		v.tally.event(v.now-epoch, fmt.Sprintf("!%s fell over", m.Name))
		v.audit.ServerCrashed(v.now, member)
	}
	for _, p := range v.proxies {
		*v.idle(p, member) = 0
	}
	lost := v.silentAttempts[member]
	v.silentAttempts[member] = nil
	for _, g := range lost {
		if l := &v.attempts[g]; l.used && !l.closed && int(l.member) == member {
			v.agenda.add(event{at: v.now + wireDelay, what: eventAttemptEnds, a: g, b: int32(balance.ConnectionLost), gen: l.gen})
		}
	}
}
