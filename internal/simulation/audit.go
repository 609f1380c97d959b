package simulation

import (
	"fmt"

	"lockloom/balance"
)

// Audit checks the four rules from what the servers and the clients saw themselves, whatever proxies say of it. Times are
// in seconds of one clock. It is not safe for concurrent use.
type Audit struct {
	Slack   float64 // past each limit, for the ways of the wire and the rig's own clock
	Grace   float64
	Counts  float64 // what is listed counts as told so much later
	Clients bool    // only clients are seen: no server tells of attempts
	Broken  [5]int  // by rule, from 1
	First   []string

	tariffs []balance.Class
	tries   []tried
	listed  map[int]float64    // a member drains or is gone since
	told    map[[2]int]float64 // and a proxy knows since
	banned  map[[2]int]float64 // a member at a proxy, since its operators' door said yes
}

// tried is what is known of one try of a request.
type tried struct {
	tariff             uint16
	ran                uint8 // attempts that reached a server and were not rejected unseen
	answered, left     bool
	hardStop, answerAt float64
	firstAt            float64 // the first such attempt
	group              int     // and who drops its repeats
}

const firstFaults = 20 // breaches told in words; the rest is counted

// NewAudit checks tries of these classes.
func NewAudit(classes []balance.Class, slack, grace, counts float64) *Audit {
	return &Audit{Slack: slack, Grace: grace, Counts: counts, tariffs: classes, listed: map[int]float64{}, told: map[[2]int]float64{}, banned: map[[2]int]float64{}}
}

func (a *Audit) breach(rule int, now float64, format string, args ...any) {
	a.Broken[rule]++
	if len(a.First) < firstFaults {
		a.First = append(a.First, fmt.Sprintf("%.3f rule %d: %s", now, rule, fmt.Sprintf(format, args...)))
	}
}

// RequestSent notes a try that a proxy took, and numbers it.
func (a *Audit) Sent(class int, hardStop float64) int {
	a.tries = append(a.tries, tried{tariff: uint16(class), hardStop: hardStop})
	return len(a.tries) - 1
}

// Reached notes an attempt that came whole to a server, from a proxy (-1: not known); group is who drops its repeats there.
func (a *Audit) Reached(now float64, try, proxy, member, group int) {
	if since, drains := a.listed[member]; drains {
		since += a.Counts
		if told, ok := a.told[[2]int{proxy, member}]; ok {
			since = min(since, told)
		}
		if now > since+a.Grace+a.Slack {
			a.breach(3, now, "proxy %d sent to member %d, which it knew to drain for %.3f s", proxy+1, member, now-since)
		}
	}
	if since, banned := a.banned[[2]int{proxy, member}]; banned && now > since+a.Grace+a.Slack {
		a.breach(3, now, "proxy %d sent to member %d, which its operators had banned for %.3f s", proxy+1, member, now-since)
	}
	if try < 0 || try >= len(a.tries) {
		a.breach(1, now, "a leg of no lookup that a client sent")
		return
	}
	t := &a.tries[try]
	row := &a.tariffs[t.tariff]
	if t.answered && now > t.answerAt+a.Slack {
		a.breach(1, now, "try %d of %s: sent %.3f s after its answer", try, row.Name, now-t.answerAt)
	}
	if t.ran > 0 {
		switch {
		case row.Idempotency == balance.NonIdempotent:
			a.breach(2, now, "try %d of %s: sent again though it may have run", try, row.Name)
		case row.Idempotency == balance.Keyed && group != t.group:
			a.breach(2, now, "try %d of %s: sent again to servers that do not know it", try, row.Name)
		case row.Idempotency == balance.Keyed && now > t.firstAt+row.DedupWindow+a.Slack:
			a.breach(2, now, "try %d of %s: sent again %.3f s later, past its window", try, row.Name, now-t.firstAt)
		}
	} else {
		t.firstAt, t.group = now, group
	}
	t.ran++
}

// Turned notes that a server turned an attempt away unseen: it never ran.
func (a *Audit) Turned(try int) {
	if try >= 0 && try < len(a.tries) && a.tries[try].ran > 0 {
		a.tries[try].ran--
	}
}

// Answered notes a try's final answer at its client: NoReply stands for an successful one.
func (a *Audit) Answered(now float64, try int, answer balance.Reply) {
	t := &a.tries[try]
	row := &a.tariffs[t.tariff]
	if t.answered {
		a.breach(1, now, "try %d of %s: answered twice", try, row.Name)
		return
	}
	t.answered, t.answerAt = true, now
	if now > t.hardStop+a.Slack {
		a.breach(1, now, "try %d of %s: answered %.3f s after its hard stop", try, row.Name, now-t.hardStop)
	}
	if answer == balance.Rejected && t.ran > 0 && (row.Idempotency == balance.NonIdempotent ||
		row.Idempotency == balance.Keyed && row.DedupScope != balance.DedupAll) {
		a.breach(2, now, "try %d of %s: dismissed though it may have run", try, row.Name)
	}
	if answer == balance.NoReply && t.ran == 0 && !a.Clients {
		a.breach(1, now, "try %d of %s: honoured by no server", try, row.Name)
	}
}

// ClientDisconnected notes that no answer is owed any more: its client has gone, or its proxy was killed.
func (a *Audit) Left(now float64, try int) {
	if t := &a.tries[try]; !t.answered {
		t.left, t.answered, t.answerAt = true, true, now
	}
}

// RequestLost notes that a proxy ended a try with no answer.
func (a *Audit) Lost(now float64, try int) {
	t := &a.tries[try]
	a.breach(1, now, "try %d of %s: lost", try, a.tariffs[t.tariff].Name)
	t.answered, t.answerAt = true, now
}

// EndpointsUpdated notes that the list says of a member that it drains or is gone.
func (a *Audit) Listed(now float64, member int) {
	if _, ok := a.listed[member]; !ok {
		a.listed[member] = now
	}
}

// Told notes that a proxy was told so.
func (a *Audit) Told(now float64, proxy, member int) {
	if _, ok := a.told[[2]int{proxy, member}]; !ok {
		a.told[[2]int{proxy, member}] = now
	}
}

// Disabled notes that a proxy's operators disabled a member, or let it serve again.
func (a *Audit) Banned(now float64, proxy, member int, banned bool) {
	key := [2]int{proxy, member}
	if _, already := a.banned[key]; !banned {
		delete(a.banned, key)
	} else if !already {
		a.banned[key] = now
	}
}

// Fell notes that a cold server was pushed over.
func (a *Audit) Fell(now float64, member int) { a.breach(4, now, "member %d was pushed over", member) }

// Close looks for tries that were never answered.
func (a *Audit) Close(now float64) {
	for i := range a.tries {
		if t := &a.tries[i]; !t.answered && now > t.hardStop+a.Slack {
			a.breach(1, now, "try %d of %s: never answered", i, a.tariffs[t.tariff].Name)
		}
	}
}

// Kept tells whether no rule was broken.
func (a *Audit) Kept() bool { return a.Broken == [5]int{} }
