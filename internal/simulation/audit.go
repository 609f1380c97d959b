package simulation

import (
	"fmt"

	"lockloom/balance"
)

// Audit checks the four rules from what the servers and the clients saw themselves, whatever proxies say of it. Times
// are in seconds of one clock. It is not safe for concurrent use.
type Audit struct {
	Slack                float64 // past each limit, for the ways of the wire and the rig's own clock
	Grace                float64
	NotificationDeadline float64 // what is listed counts as told so much later
	ClientsOnly          bool    // only clients are seen: no server tells of attempts
	RulesBroken          [5]int  // by rule, from 1
	FirstBreaches        []string

	classes       []balance.Class
	tries         []auditedTry
	notReadySince map[int]float64    // a member drains or is gone since
	notifiedAt    map[[2]int]float64 // and a proxy knows since
	disabledAt    map[[2]int]float64 // a member at a proxy, since its operators' door said yes
}

// auditedTry is what is known of one try of a request.
type auditedTry struct {
	class                uint16
	attemptsRun          uint8 // attempts that reached a server and were not rejected unseen
	answered, clientGone bool
	deadline, answeredAt float64
	firstAttemptAt       float64 // the first such attempt
	dedupGroup           int     // and who drops its repeats
}

const maxBreachTexts = 20 // breaches told in words; the rest is counted

// NewAudit checks tries of these classes.
func NewAudit(classes []balance.Class, slack, grace, counts float64) *Audit {
	return &Audit{
		Slack:                slack,
		Grace:                grace,
		NotificationDeadline: counts,
		classes:              classes,
		notReadySince:        map[int]float64{},
		notifiedAt:           map[[2]int]float64{},
		disabledAt:           map[[2]int]float64{},
	}
}

func (a *Audit) breach(rule int, now float64, format string, args ...any) {
	a.RulesBroken[rule]++
	if len(a.FirstBreaches) < maxBreachTexts {
		a.FirstBreaches = append(a.FirstBreaches, fmt.Sprintf("%.3f rule %d: %s", now, rule, fmt.Sprintf(format, args...)))
	}
}

// RequestSent notes a try that a proxy took, and numbers it.
func (a *Audit) RequestSent(class int, hardStop float64) int {
	a.tries = append(a.tries, auditedTry{class: uint16(class), deadline: hardStop})
	return len(a.tries) - 1
}

// AttemptReceived notes an attempt that came whole to a server, from a proxy (-1: not known); group is who drops its
// repeats there.
func (a *Audit) AttemptReceived(now float64, try, proxy, member, group int) {
	if since, drains := a.notReadySince[member]; drains {
		since += a.NotificationDeadline
		if told, ok := a.notifiedAt[[2]int{proxy, member}]; ok {
			since = min(since, told)
		}
		if now > since+a.Grace+a.Slack {
			a.breach(3, now, "proxy %d sent to member %d, which it knew to drain for %.3f s", proxy+1, member, now-since)
		}
	}
	if since, banned := a.disabledAt[[2]int{proxy, member}]; banned && now > since+a.Grace+a.Slack {
		a.breach(3, now, "proxy %d sent to member %d, which its operators had banned for %.3f s", proxy+1, member, now-since)
	}
	if try < 0 || try >= len(a.tries) {
		a.breach(1, now, "a leg of no lookup that a client sent")
		return
	}
	t := &a.tries[try]
	row := &a.classes[t.class]
	if t.answered && now > t.answeredAt+a.Slack {
		a.breach(1, now, "try %d of %s: sent %.3f s after its answer", try, row.Name, now-t.answeredAt)
	}
	if t.attemptsRun > 0 {
		switch {
		case row.Idempotency == balance.NonIdempotent:
			a.breach(2, now, "try %d of %s: sent again though it may have run", try, row.Name)
		case row.Idempotency == balance.Keyed && group != t.dedupGroup:
			a.breach(2, now, "try %d of %s: sent again to servers that do not know it", try, row.Name)
		case row.Idempotency == balance.Keyed && now > t.firstAttemptAt+row.DedupWindow+a.Slack:
			a.breach(2, now, "try %d of %s: sent again %.3f s later, past its window", try, row.Name, now-t.firstAttemptAt)
		}
	} else {
		t.firstAttemptAt, t.dedupGroup = now, group
	}
	t.attemptsRun++
}

// ClientFaults notes that a server turned an attempt away unseen: it never ran.
func (a *Audit) AttemptRejected(try int) {
	if try >= 0 && try < len(a.tries) && a.tries[try].attemptsRun > 0 {
		a.tries[try].attemptsRun--
	}
}

// RequestAnswered notes a try's final answer at its client: NoReply stands for an successful one.
func (a *Audit) RequestAnswered(now float64, try int, answer balance.Reply) {
	t := &a.tries[try]
	row := &a.classes[t.class]
	if t.answered {
		a.breach(1, now, "try %d of %s: answered twice", try, row.Name)
		return
	}
	t.answered, t.answeredAt = true, now
	if now > t.deadline+a.Slack {
		a.breach(1, now, "try %d of %s: answered %.3f s after its hard stop", try, row.Name, now-t.deadline)
	}
	if answer == balance.Rejected && t.attemptsRun > 0 && (row.Idempotency == balance.NonIdempotent ||
		row.Idempotency == balance.Keyed && row.DedupScope != balance.DedupAll) {
		a.breach(2, now, "try %d of %s: dismissed though it may have run", try, row.Name)
	}
	if answer == balance.NoReply && t.attemptsRun == 0 && !a.ClientsOnly {
		a.breach(1, now, "try %d of %s: honoured by no server", try, row.Name)
	}
}

// ClientDisconnected notes that no answer is owed any more: its client has gone, or its proxy was killed.
func (a *Audit) ClientGone(now float64, try int) {
	if t := &a.tries[try]; !t.answered {
		t.clientGone, t.answered, t.answeredAt = true, true, now
	}
}

// RequestLost notes that a proxy ended a try with no answer.
func (a *Audit) RequestLost(now float64, try int) {
	t := &a.tries[try]
	a.breach(1, now, "try %d of %s: lost", try, a.classes[t.class].Name)
	t.answered, t.answeredAt = true, now
}

// EndpointsUpdated notes that the list says of a member that it drains or is gone.
func (a *Audit) MemberNotReady(now float64, member int) {
	if _, ok := a.notReadySince[member]; !ok {
		a.notReadySince[member] = now
	}
}

// ProxyNotified notes that a proxy was told so.
func (a *Audit) ProxyNotified(now float64, proxy, member int) {
	if _, ok := a.notifiedAt[[2]int{proxy, member}]; !ok {
		a.notifiedAt[[2]int{proxy, member}] = now
	}
}

// Disabled notes that a proxy's operators disabled a member, or let it serve again.
func (a *Audit) ServerDisabled(now float64, proxy, member int, banned bool) {
	key := [2]int{proxy, member}
	if _, already := a.disabledAt[key]; !banned {
		delete(a.disabledAt, key)
	} else if !already {
		a.disabledAt[key] = now
	}
}

// ServerCrashed notes that a cold server was pushed over.
func (a *Audit) ServerCrashed(now float64, member int) {
	a.breach(4, now, "member %d was pushed over", member)
}

// Close looks for tries that were never answered.
func (a *Audit) Close(now float64) {
	for i := range a.tries {
		if t := &a.tries[i]; !t.answered && now > t.deadline+a.Slack {
			a.breach(1, now, "try %d of %s: never answered", i, a.classes[t.class].Name)
		}
	}
}

// Passed tells whether no rule was broken.
func (a *Audit) Passed() bool { return a.RulesBroken == [5]int{} }
