package simulation

import (
	"fmt"

	"lockloom/balance"
)

// Audit checks that proxies keep four rules. It uses only what servers and clients observe, not what proxies report.
// Each breach is counted under the number of its rule:
//
//  1. A request is answered exactly once, before its deadline. A successful answer comes from a server. No attempt is
//     sent after the answer.
//  2. A request that may have run is sent again, or rejected, only if the idempotency of its class permits it.
//  3. No attempt is sent to a draining, removed or disabled server after the grace has passed.
//  4. No server crashes from overload during its slow start.
//
// A try is one request that a client sends; a retry by the client is a new try. Times are in seconds on a single clock.
// An Audit is not safe for concurrent use.
type Audit struct {
	Slack                float64  // tolerance added to each time limit, for network delay and the accuracy of the clock
	Grace                float64  // maximum time from a drain's notification or a disable call to the last attempt
	NotificationDeadline float64  // time from a change of the endpoint list until every proxy counts as notified
	ClientsOnly          bool     // servers are not observed, so no attempts are recorded
	RulesBroken          [5]int   // number of breaches by rule; index 0 is unused
	FirstBreaches        []string // descriptions; at most maxBreachTexts

	classes       []balance.Class
	tries         []auditedTry
	notReadySince map[int]float64         // when a member was first listed as draining or removed
	notifiedAt    map[proxyMember]float64 // when a proxy was first notified of that
	disabledAt    map[proxyMember]float64 // when a member was disabled at a proxy; absent: it is enabled
}

// proxyMember identifies a member as one proxy sees it.
type proxyMember struct{ proxy, member int }

// auditedTry holds the observations of one try.
type auditedTry struct {
	class          uint16
	attemptsRun    uint8 // attempts that reached a server and were not rejected
	answered       bool
	clientGone     bool
	deadline       float64
	answeredAt     float64
	firstAttemptAt float64
	dedupGroup     int // deduplication group of the server that received the first attempt
}

// The numbers of the rules; see Audit.
const (
	ruleAnswers    = 1
	ruleEffects    = 2
	ruleDrains     = 3
	ruleSlowStarts = 4
)

const maxBreachTexts = 20 // further breaches are counted, but not described

// NewAudit returns an Audit of tries whose class is an index into classes. The other parameters set the fields Slack,
// Grace and NotificationDeadline.
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

// RequestSent records a try that a proxy accepted, and returns the number of the try. class is an index into the
// classes that were passed to NewAudit.
func (a *Audit) RequestSent(class int, deadline float64) int {
	a.tries = append(a.tries, auditedTry{class: uint16(class), deadline: deadline})
	return len(a.tries) - 1
}

// AttemptReceived records that a member has completely received an attempt of a try from a proxy, which is -1 if it is
// unknown. group is the deduplication group of the member for the class of the try.
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

// checkDrain checks rule 3 for an attempt from a proxy to a member: if the member is draining, removed or disabled, the
// grace must not have passed yet.
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

// checkRepeat checks rule 2 for another attempt of a try that may have run already. group is the deduplication group of
// the server that receives the attempt.
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

// AttemptRejected records that a server rejected an attempt without running it.
func (a *Audit) AttemptRejected(try int) {
	if try >= 0 && try < len(a.tries) && a.tries[try].attemptsRun > 0 {
		a.tries[try].attemptsRun--
	}
}

// RequestAnswered records the final answer that the client of a try received. NoReply stands for a server's successful
// answer, since it is not a reply by the proxy itself.
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

// ClientGone records that a try no longer needs an answer, because its client has gone or its proxy was killed.
func (a *Audit) ClientGone(now float64, try int) {
	t := &a.tries[try]
	if t.answered {
		return
	}
	t.clientGone = true
	t.answered = true
	t.answeredAt = now
}

// RequestLost records that a proxy ended a try without a valid answer.
func (a *Audit) RequestLost(now float64, try int) {
	t := &a.tries[try]
	a.breach(ruleAnswers, now, "try %d of %s: lost", try, a.classes[t.class].Name)
	t.answered = true
	t.answeredAt = now
}

// MemberNotReady records that a member is listed as draining or removed. Only the first call for a member counts.
func (a *Audit) MemberNotReady(now float64, member int) {
	if _, ok := a.notReadySince[member]; !ok {
		a.notReadySince[member] = now
	}
}

// ProxyNotified records that a proxy was notified that a member is draining or removed. Only the first call counts.
func (a *Audit) ProxyNotified(now float64, proxy, member int) {
	key := proxyMember{proxy, member}
	if _, ok := a.notifiedAt[key]; !ok {
		a.notifiedAt[key] = now
	}
}

// ServerDisabled records that a member was disabled at a proxy by an admin call, or enabled again.
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

// ServerCrashed records that a member crashed from overload in its slow start.
func (a *Audit) ServerCrashed(now float64, member int) {
	a.breach(ruleSlowStarts, now, "member %d crashed in slow start", member)
}

// Close records a breach for each try that is unanswered although its deadline has passed.
func (a *Audit) Close(now float64) {
	for i := range a.tries {
		if t := &a.tries[i]; !t.answered && now > t.deadline+a.Slack {
			a.breach(ruleAnswers, now, "try %d of %s: never answered", i, a.classes[t.class].Name)
		}
	}
}

// Passed reports whether no rule was broken.
func (a *Audit) Passed() bool { return a.RulesBroken == [5]int{} }
