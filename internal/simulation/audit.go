package simulation

import (
	"fmt"

	"lockloom/balance"
)

// Audit checks the four rules by what the servers and the clients saw, whatever proxies report. Times are in seconds of
// one clock. It is not safe for concurrent use.
type Audit struct {
	Slack                float64 // past each limit, for the wire and the rig's own clock
	Grace                float64
	NotificationDeadline float64 // from a change of the list to when it counts as notified
	ClientsOnly          bool    // no server reports attempts
	RulesBroken          [5]int  // by rule, from 1
	FirstBreaches        []string

	classes       []balance.Class
	tries         []auditedTry
	notReadySince map[int]float64 // by member
	notifiedAt    map[proxyMember]float64
	disabledAt    map[proxyMember]float64
}

// proxyMember is a member as seen from a proxy.
type proxyMember struct{ proxy, member int }

// auditedTry is what is known of one try.
type auditedTry struct {
	class          uint16
	attemptsRun    uint8 // attempts that reached a server and were not rejected
	answered       bool
	clientGone     bool
	deadline       float64
	answeredAt     float64
	firstAttemptAt float64
	dedupGroup     int // of the first attempt
}

// The rules that a breach counts against.
const (
	ruleAnswers    = 1
	ruleEffects    = 2
	ruleDrains     = 3
	ruleSlowStarts = 4
)

const maxBreachTexts = 20 // breaches that are described; further ones are counted

// NewAudit returns an audit of tries of these classes.
func NewAudit(classes []balance.Class, slack, grace, notificationDeadline float64) *Audit {
	return &Audit{
		Slack:                slack,
		Grace:                grace,
		NotificationDeadline: notificationDeadline,
		classes:              classes,
		notReadySince:        map[int]float64{},
		notifiedAt:           map[proxyMember]float64{},
		disabledAt:           map[proxyMember]float64{},
	}
}

func (a *Audit) breach(rule int, now float64, format string, args ...any) {
	a.RulesBroken[rule]++
	if len(a.FirstBreaches) < maxBreachTexts {
		text := fmt.Sprintf(format, args...)
		a.FirstBreaches = append(a.FirstBreaches, fmt.Sprintf("%.3f rule %d: %s", now, rule, text))
	}
}

// RequestSent records a try that a proxy accepted, and returns its number.
func (a *Audit) RequestSent(class int, deadline float64) int {
	a.tries = append(a.tries, auditedTry{class: uint16(class), deadline: deadline})
	return len(a.tries) - 1
}

// AttemptReceived records an attempt that reached a server completely, from a proxy (-1: not known). group is the dedup
// group of the server.
func (a *Audit) AttemptReceived(now float64, try, proxy, member, group int) {
	a.checkDrain(now, proxyMember{proxy, member})
	if try < 0 || try >= len(a.tries) {
		a.breach(ruleAnswers, now, "an attempt of no request that a client sent")
		return
	}
	t := &a.tries[try]
	class := &a.classes[t.class]
	if t.answered && now > t.answeredAt+a.Slack {
		a.breach(ruleAnswers, now, "try %d of %s: sent %.3f s after its answer", try, class.Name, now-t.answeredAt)
	}
	if t.attemptsRun > 0 {
		a.checkRepeat(now, try, group)
	} else {
		t.firstAttemptAt = now
		t.dedupGroup = group
	}
	t.attemptsRun++
}

// checkDrain checks that a proxy may still send to a member.
func (a *Audit) checkDrain(now float64, key proxyMember) {
	if since, notReady := a.notReadySince[key.member]; notReady {
		since += a.NotificationDeadline
		if notifiedAt, ok := a.notifiedAt[key]; ok {
			since = min(since, notifiedAt)
		}
		if now > since+a.Grace+a.Slack {
			a.breach(ruleDrains, now, "proxy %d sent to member %d, which it knew to drain for %.3f s",
				key.proxy+1, key.member, now-since)
		}
	}
	if since, disabled := a.disabledAt[key]; disabled && now > since+a.Grace+a.Slack {
		a.breach(ruleDrains, now, "proxy %d sent to member %d, which its operators had disabled for %.3f s",
			key.proxy+1, key.member, now-since)
	}
}

// checkRepeat checks that a try may run again at a server of a dedup group.
func (a *Audit) checkRepeat(now float64, try, group int) {
	t := &a.tries[try]
	class := &a.classes[t.class]
	switch {
	case class.Idempotency == balance.NonIdempotent:
		a.breach(ruleEffects, now, "try %d of %s: sent again though it may have run", try, class.Name)
	case class.Idempotency != balance.Keyed:
	case group != t.dedupGroup:
		a.breach(ruleEffects, now, "try %d of %s: sent again to servers that do not know it", try, class.Name)
	case now > t.firstAttemptAt+class.DedupWindow+a.Slack:
		a.breach(ruleEffects, now, "try %d of %s: sent again %.3f s later, past its window",
			try, class.Name, now-t.firstAttemptAt)
	}
}

// AttemptRejected records that a server rejected an attempt: it never ran.
func (a *Audit) AttemptRejected(try int) {
	if try >= 0 && try < len(a.tries) && a.tries[try].attemptsRun > 0 {
		a.tries[try].attemptsRun--
	}
}

// RequestAnswered records a try's final answer at its client; NoReply: it succeeded.
func (a *Audit) RequestAnswered(now float64, try int, reply balance.Reply) {
	t := &a.tries[try]
	class := &a.classes[t.class]
	if t.answered {
		a.breach(ruleAnswers, now, "try %d of %s: answered twice", try, class.Name)
		return
	}
	t.answered = true
	t.answeredAt = now
	if now > t.deadline+a.Slack {
		a.breach(ruleAnswers, now, "try %d of %s: answered %.3f s after its deadline", try, class.Name, now-t.deadline)
	}
	clientMayRetry := class.Idempotency == balance.Idempotent ||
		class.Idempotency == balance.Keyed && class.DedupScope == balance.DedupAll
	if reply == balance.Rejected && t.attemptsRun > 0 && !clientMayRetry {
		a.breach(ruleEffects, now, "try %d of %s: rejected though it may have run", try, class.Name)
	}
	if reply == balance.NoReply && t.attemptsRun == 0 && !a.ClientsOnly {
		a.breach(ruleAnswers, now, "try %d of %s: answered by no server", try, class.Name)
	}
}

// ClientGone records that no answer is due any more: the client has gone, or the proxy was killed.
func (a *Audit) ClientGone(now float64, try int) {
	t := &a.tries[try]
	if t.answered {
		return
	}
	t.clientGone = true
	t.answered = true
	t.answeredAt = now
}

// RequestLost records that a proxy ended a try without an answer.
func (a *Audit) RequestLost(now float64, try int) {
	t := &a.tries[try]
	a.breach(ruleAnswers, now, "try %d of %s: lost", try, a.classes[t.class].Name)
	t.answered = true
	t.answeredAt = now
}

// MemberNotReady records that a member is listed as draining or removed; the first time counts.
func (a *Audit) MemberNotReady(now float64, member int) {
	if _, ok := a.notReadySince[member]; !ok {
		a.notReadySince[member] = now
	}
}

// ProxyNotified records that a proxy counts as notified of that; the first time counts.
func (a *Audit) ProxyNotified(now float64, proxy, member int) {
	key := proxyMember{proxy, member}
	if _, ok := a.notifiedAt[key]; !ok {
		a.notifiedAt[key] = now
	}
}

// ServerDisabled records that a proxy's operators have disabled a member, or enabled it.
func (a *Audit) ServerDisabled(now float64, proxy, member int, disabled bool) {
	key := proxyMember{proxy, member}
	if !disabled {
		delete(a.disabledAt, key)
		return
	}
	if _, already := a.disabledAt[key]; !already {
		a.disabledAt[key] = now
	}
}

// ServerCrashed records that a server crashed under too much load in its slow start.
func (a *Audit) ServerCrashed(now float64, member int) {
	a.breach(ruleSlowStarts, now, "member %d crashed in slow start", member)
}

// Close checks for tries that were never answered.
func (a *Audit) Close(now float64) {
	for i := range a.tries {
		if t := &a.tries[i]; !t.answered && now > t.deadline+a.Slack {
			a.breach(ruleAnswers, now, "try %d of %s: never answered", i, a.classes[t.class].Name)
		}
	}
}

// Passed reports whether no rule was broken.
func (a *Audit) Passed() bool { return a.RulesBroken == [5]int{} }
