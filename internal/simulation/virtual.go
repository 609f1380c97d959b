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

// Delays and durations in virtual time, in seconds.
const (
	epoch          = 1000.0 // start of a run; not 0, which as a StartedAt means long ago
	wireDelay      = 0.0001 // network delay, one way, between proxy and server or client
	listDelay      = 0.02   // from a change of the endpoint list to the notification of a proxy
	muteDuration   = 3.1    // until a proxy has replaced a watch on which nothing is sent any more
	reconnectDelay = 0.05   // until a client that found no proxy up connects again
	killMargin     = 0.7    // a proxy is killed this long after SIGTERM plus the longest deadline of any class
	startDuration  = 0.2    // from the start of a proxy until it serves
	clockTolerance = 1e-6   // tolerance of the audit for rounding
)

// virtualRun is a run in virtual time: a discrete-event simulation of the servers, proxies and clients.
type virtualRun struct {
	scenario           *Scenario
	settings           settings.Settings
	policy             Policy
	seed               uint64
	now                float64
	agenda             agenda
	plan               loadgen.Source
	nextIntent         loadgen.Intent // its event is in the agenda
	clients            loadgen.ClientPolicy
	rand               *rand.Rand
	fleet              *emulator.Fleet
	nextEventAt        []float64 // by member: time of its valid eventServerDue; never: none
	silentAttempts     [][]int32 // by member: attempts without a response, which end when the connections are reset
	timeline           []TimelineEntry
	proxies            []*virtualProxy
	nextProxy          int // counter of the round robin by which clients pick proxies
	tries              []try
	freeTries          []int32 // indices of elements of tries that are not in use
	attempts           []attempt
	freeAttempts       []int32        // indices of elements of attempts that are not in use
	zones              map[string]int // number by name
	models             map[string]int // number by name, in order of appearance
	audit              *Audit
	tally              *tally
	attemptsThisSecond int
	err                error
}

// PlayVirtual plays a scenario in virtual time with a policy; the name is used in the result. The same seed gives the
// same run.
func (s *Scenario) PlayVirtual(name string, policy Policy, seed uint64) (*Result, error) {
	return s.PlayVirtualFrom(name, policy, seed, loadgen.NewPlan(s.Workload(), seed))
}

// PlayVirtualFrom is like PlayVirtual, but takes the intents from a source instead of the scenario's workload.
func (s *Scenario) PlayVirtualFrom(name string, policy Policy, seed uint64, intents loadgen.Source) (*Result, error) {
	startedAt := time.Now()
	v := newVirtualRun(s, name, policy, seed, intents)
	if err := v.begin(); err != nil {
		return nil, err
	}
	end := epoch + s.Seconds + 2*s.longestDeadline()
	for len(v.agenda.list) > 0 && v.agenda.list[0].at <= end && v.err == nil {
		e := v.agenda.next()
		v.now = e.at
		v.handle(e)
	}
	v.audit.Close(end + 1)
	r := v.tally.result(v.fleet, v.audit)
	r.WallTime = time.Since(startedAt).Seconds()
	return r, v.err
}

func newVirtualRun(s *Scenario, name string, policy Policy, seed uint64, intents loadgen.Source) *virtualRun {
	runSettings := s.Settings(seed)
	v := &virtualRun{
		scenario: s,
		settings: runSettings,
		policy:   policy,
		seed:     seed,
		now:      epoch,
		plan:     intents,
		clients:  loadgen.ClientPolicy(s.Clients),
		rand:     rand.New(rand.NewPCG(seed, 4)),
		fleet:    s.NewFleet(seed, epoch),
		zones:    map[string]int{},
		models:   map[string]int{},
		tally:    newTally(s, runSettings.Classes, seed, name, "virtual"),
	}
	slack := 2*wireDelay + clockTolerance
	v.audit = NewAudit(runSettings.Classes, slack, s.Deployment.DrainGrace, s.Deployment.NotificationDeadline)
	for i, zone := range runSettings.Zones {
		v.zones[zone] = i
	}
	for range s.ProxyFleet.Count {
		v.proxies = append(v.proxies, &virtualProxy{})
	}
	return v
}

// begin starts the proxies and schedules the timeline, the ends of all seconds and the first intent.
func (v *virtualRun) begin() error {
	for i := range v.proxies {
		v.startProxy(i)
		if v.err != nil {
			return v.err
		}
	}
	v.addMembers()
	for _, entry := range v.scenario.Timeline() {
		v.schedule(entry)
	}
	for at := 1.0; at <= math.Ceil(v.scenario.Seconds); at++ {
		v.agenda.add(event{at: epoch + at, kind: eventSecondEnds})
	}
	v.scheduleIntent()
	return nil
}

// longestDeadline returns the longest deadline of any class, in seconds.
func (s *Scenario) longestDeadline() float64 {
	longest := 0.0
	for _, t := range s.Classes {
		longest = max(longest, t.Deadline)
	}
	return longest
}

// handle processes an event. Events of an earlier generation of their target are ignored.
func (v *virtualRun) handle(e event) {
	switch e.kind {
	case eventIntentDue:
		intent := v.nextIntent
		v.scheduleIntent()
		v.tally.intentDue(v.now-epoch, &intent)
		v.connect(v.newTry(intent, 1, v.now))
	case eventConnect:
		v.connect(e.target)
	case eventClientLeaves:
		v.clientLeaves(e.target, e.generation)
	case eventRequestTimer:
		if t := &v.tries[e.target]; t.generation == e.generation && t.handle != nil {
			v.carryOut(t.proxy, t.pool, t.handle.TimerFired(v.now))
			v.release(e.target)
		}
	case eventDeciderTimer:
		if p := v.proxies[e.target]; p.incarnation == e.generation && p.alive {
			v.carryOut(e.target, e.detail, p.pools[e.detail].TimerFired(v.now))
		}
	case eventAttemptArrives:
		if v.attempts[e.target].generation == e.generation {
			v.attemptArrives(e.target)
		}
	case eventAttemptEnds:
		if v.attempts[e.target].generation == e.generation {
			v.attemptEnds(e.target, balance.Outcome(e.detail))
		}
	case eventServerDue:
		if m := int(e.target); v.nextEventAt[m] == e.at {
			v.nextEventAt[m] = never
			v.reconcile(m, v.fleet.Members[m].Advance(v.now))
		}
	case eventTimelineEntry:
		v.applyEntry(v.timeline[e.target])
	case eventProxyNotified:
		v.notifyProxy(int(e.target))
	case eventProxyStarts:
		v.startProxy(int(e.target))
	case eventSecondEnds:
		v.endSecond()
	}
}

// endSecond records the servers' states at the end of a second.
func (v *virtualRun) endSecond() {
	for i, m := range v.fleet.Members {
		v.reconcile(i, m.Advance(v.now))
	}
	v.tally.endSecond(v.now-epoch-1, v.fleet, v.attemptsThisSecond)
	v.attemptsThisSecond = 0
}

// scheduleIntent takes the next intent of the source, if there is one, and schedules it.
func (v *virtualRun) scheduleIntent() {
	if intent, ok := v.plan.Next(); ok {
		v.nextIntent = intent
		v.agenda.add(event{at: epoch + intent.At, kind: eventIntentDue})
	}
}

// schedule adds an entry to the timeline and the agenda.
func (v *virtualRun) schedule(entry TimelineEntry) {
	v.timeline = append(v.timeline, entry)
	v.agenda.add(event{at: epoch + entry.At, kind: eventTimelineEntry, target: int32(len(v.timeline) - 1)})
}

// reconcile updates the endpoint list after a call on a member, and carries out the effects of the call.
func (v *virtualRun) reconcile(member int, completions []emulator.Completion) {
	v.carryOutEffect(v.fleet.Reconcile(member, completions))
}

// carryOutEffect carries out the effect of a call on a member, and schedules the next event of the member.
func (v *virtualRun) carryOutEffect(e emulator.Effect) {
	v.addMembers()
	m := v.fleet.Members[e.Member]
	for _, completion := range e.Completions {
		v.complete(e.Member, completion)
	}
	if e.ResetConnections {
		v.resetConnections(e.Member)
	}
	if e.ListChanged {
		v.listChanged()
	}
	if next := m.NextEvent(); next < v.nextEventAt[e.Member] {
		v.nextEventAt[e.Member] = next
		v.agenda.add(event{at: next, kind: eventServerDue, target: int32(e.Member)})
	}
}

// complete sends the response of a completed attempt to its proxy, unless the proxy has closed the attempt or the
// server is unreachable.
func (v *virtualRun) complete(member int, completion emulator.Completion) {
	ref := int32(completion.Ref)
	a := &v.attempts[ref]
	a.received = false
	if completion.Outcome == balance.ServerRejected {
		v.audit.AttemptRejected(v.tries[a.try].auditID)
	}
	switch {
	case a.closed: // no proxy waits for the response
		v.freeAttempt(ref)
	case v.fleet.Members[member].Reachability() == emulator.Unreachable:
		v.silentAttempts[member] = append(v.silentAttempts[member], ref)
	default:
		a.work = completion.Work
		v.scheduleEnd(ref, v.now+wireDelay, completion.Outcome)
	}
}

// scheduleEnd schedules when a proxy observes the end of an attempt.
func (v *virtualRun) scheduleEnd(ref int32, at float64, outcome balance.Outcome) {
	v.agenda.add(event{
		at:         at,
		kind:       eventAttemptEnds,
		target:     ref,
		detail:     int32(outcome),
		generation: v.attempts[ref].generation,
	})
}

// addMembers extends the state by member to servers that have joined the fleet, and schedules their first events.
func (v *virtualRun) addMembers() {
	for len(v.nextEventAt) < len(v.fleet.Members) {
		v.nextEventAt = append(v.nextEventAt, never)
		v.silentAttempts = append(v.silentAttempts, nil)
		i := len(v.nextEventAt) - 1
		if next := v.fleet.Members[i].NextEvent(); next < never {
			v.nextEventAt[i] = next
			v.agenda.add(event{at: next, kind: eventServerDue, target: int32(i)})
		}
	}
}

// resetConnections resets all connections to a member: idle ones are closed, and attempts without a response fail. If
// the member has crashed, it also records the crash.
func (v *virtualRun) resetConnections(member int) {
	m := v.fleet.Members[member]
	if m.Crashes > 0 && m.Reachability() == emulator.Refusing && m.State != balance.Removed {
		v.tally.event(v.now-epoch, fmt.Sprintf("!%s fell over", m.Name))
		v.audit.ServerCrashed(v.now, member)
	}
	for _, p := range v.proxies {
		*v.idleConnections(p, member) = 0
	}
	lost := v.silentAttempts[member]
	v.silentAttempts[member] = nil
	for _, ref := range lost {
		if a := &v.attempts[ref]; a.used && !a.closed && int(a.member) == member {
			v.scheduleEnd(ref, v.now+wireDelay, balance.ConnectionLost)
		}
	}
}
