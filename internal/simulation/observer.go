package simulation

import (
	"strconv"
	"sync"
	"time"

	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
)

// recorder feeds the tally and the audit of a run on sockets with the events of clients and servers. It implements
// loadgen.Observer and fakeserver.Observer, and is safe for concurrent use.
type recorder struct {
	mu             sync.Mutex
	now            func() float64 // s since 1970
	start          float64        // when the run starts, on the clock of now; +Inf until setStart
	tally          *tally
	audit          *Audit
	clockLateness  *lateness
	attemptsBefore int // attempts up to the end of the previous second
}

// lateness records how late the fake servers carry out their scheduled actions.
type lateness struct {
	mu    sync.Mutex
	worst float64 // the greatest lateness, in s
	over  int     // number of actions later than maxLateness
	all   int     // number of all actions
}

func (l *lateness) record(s float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all++
	l.worst = max(l.worst, s)
	if s > maxLateness {
		l.over++
	}
}

// locked runs a function with the lock held. now is in seconds since 1970, at in seconds since the start of the run.
func (r *recorder) locked(call func(now, at float64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	call(now, now-r.start)
}

func (r *recorder) IntentDue(intent *loadgen.Intent) {
	r.locked(func(_, _ float64) { r.tally.intentDue(intent.At, intent) })
}

func (r *recorder) RequestSent(intent *loadgen.Intent, late float64) (try int) {
	r.locked(func(now, _ float64) {
		r.tally.Tries++
		record(r.tally.rigLate, max(late, 0))
		try = r.audit.RequestSent(intent.Class, now+r.tally.classes[intent.Class].Deadline)
	})
	return try
}

func (r *recorder) RequestSucceeded(try int, intent *loadgen.Intent, sinceRequest, sinceIntent float64) {
	r.locked(func(now, at float64) {
		r.audit.RequestAnswered(now, try, balance.NoReply)
		r.tally.succeeded(at, intent, sinceRequest, sinceIntent)
	})
}

func (r *recorder) RequestFailed(try int, reply balance.Reply, clientFault bool) {
	r.locked(func(now, at float64) {
		r.audit.RequestAnswered(now, try, reply)
		r.tally.failed(at, reply)
		if clientFault {
			r.tally.ClientFaults++
		}
	})
}

func (r *recorder) ResponseCorrupt(try int) {
	r.locked(func(now, _ float64) {
		r.audit.RequestLost(now, try)
		r.tally.Mismatched++
	})
}

func (r *recorder) RequestLost(try int, withProxy bool) {
	r.locked(func(now, at float64) {
		r.tally.second(at).Lost++
		if withProxy {
			r.audit.ClientGone(now, try)
			r.tally.LostWithProxy++
			return
		}
		r.audit.RequestLost(now, try)
		r.tally.Lost++
	})
}

func (r *recorder) RequestTimedOut(try int) { r.RequestLost(try, false) }

func (r *recorder) ClientGone(try int) {
	r.locked(func(now, _ float64) {
		r.audit.ClientGone(now, try)
		r.tally.ClientGone++
	})
}

func (r *recorder) NoProxy() { r.locked(func(_, _ float64) { r.tally.NoProxy++ }) }

func (r *recorder) AttemptReceived(now float64, id string, proxy, member, group int) {
	try, err := strconv.Atoi(id)
	if err != nil {
		try = -1
	}
	r.locked(func(_, at float64) {
		r.tally.Attempts++
		r.audit.AttemptReceived(now, try, proxy, member, group)
	})
}

func (r *recorder) AttemptRejected(id string) {
	if try, err := strconv.Atoi(id); err == nil {
		r.locked(func(_, _ float64) { r.audit.AttemptRejected(try) })
	}
}

func (r *recorder) MemberNotReady(now float64, member int) {
	r.locked(func(_, _ float64) { r.audit.MemberNotReady(now, member) })
}

func (r *recorder) ProxyNotified(now float64, proxy, member int) {
	r.locked(func(_, _ float64) { r.audit.ProxyNotified(now, proxy, member) })
}

func (r *recorder) ServerCrashed(now float64, member int) {
	r.locked(func(_, at float64) {
		r.audit.ServerCrashed(now, member)
		r.tally.event(at, "!member "+strconv.Itoa(member)+" fell over")
	})
}

// AttemptServed counts the work of a response as useful if the response reaches the client, that is, if the request has
// not been answered before and the client has not gone.
func (r *recorder) AttemptServed(id string, work float64) {
	if try, err := strconv.Atoi(id); err == nil {
		r.locked(func(now, _ float64) {
			if try < len(r.audit.tries) && !r.audit.tries[try].answered {
				r.tally.usefulWork += work
			}
		})
	}
}

// endSecond records the servers' states and the attempts of the second that begins at a time.
func (r *recorder) endSecond(at float64, f *emulator.Fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.endSecond(at, f, r.tally.Attempts-r.attemptsBefore)
	r.attemptsBefore = r.tally.Attempts
}

func (r *recorder) event(text string) {
	r.locked(func(_, at float64) { r.tally.event(at, text) })
}

// seconds converts seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
