package discovery

import "math"

// Times of a watch's life, in seconds. What a proxy's agent has counts as told at once, whether or not it was asked for, and what a
// silent watch misses 6 s after it fell silent; from then on a drain's grace runs (the platform's page on proxies at full size).
const (
	silentFor   = 3.0  // without a word a watch is broken: its beat comes every 2 s
	besideFor   = 2.0  // a call without its first word is held, and another made beside it: it may be dead, as a silent watch is
	besideLeast = 0.2  // the same where the grace of a drain is short
	answerFor   = 10.0 // a call is held for so long: one that is given up loses its place where discovery lets calls wait
	pauseFirst  = 0.1  // between the beginnings of two calls to an agent that nobody else asks
	pauseMost   = 0.5  // the same after several that failed
	besidePart  = 0.8  // of a drain's grace: the longest between two calls, so that one is made within it
	pausePart   = 0.25 // of it: the longest mean pause, spread by half
	turnedPace  = 0.05 // a proxy of the fleet: the mean pause of those rejected, so that all ask 20 times a second together
	turnedMost  = 4.0  // the mean of that pause, however large the fleet: spread by half it is what countsFor leaves
	waitedFor   = 0.5  // a call that was rejected after so long took room there; one that was not cost discovery nothing
	waitedPart  = 2.0  // times the fleet's pace, after such a call, where turnedMost would bind
	countsFor   = 6.0  // from a watch's last word to when all that it missed counts as told
)

// CallResult is how a call for the list ended.
type CallResult int

// The endings, from what says least of discovery.
const (
	Refused    CallResult = iota // no connection, or it ended before a word: nobody is there just now
	NoResponse                   // no word in the time
	Broken                       // it had answered, and ended, fell silent or could not be followed
	Rejected                     // discovery answered that it has no room: it is shared, and overbooked
)

// NotificationClock is the clock of what counts as told to a proxy: when a watch was last alive, from when on what it misses counts as told,
// and when the next call for the list is due. It is pure: all times are passed in, in seconds on one clock. What ended the last
// call decides when the next is made. An agent of this machine's own costs nothing and is asked again at once; one that
// turns callers away is asked within countsFor, but by a large fleet, once it had let a call wait, at a pace that the fleet shares. Danger:
// a fleet that asks such a one all at once, again and again, keeps it overbooked, so that nobody hears anything.
type NotificationClock struct {
	bank   float64 // mean pause at the fleet's pace
	beside float64 // from a call without a word to the next: most of a drain's grace
	most   float64 // mean pause after several that failed: well within a grace
	alive  float64 // a watch's last word; at first: when this proxy began
	next   float64 // when a call is due; +Inf: none is
	begun  float64 // the last call's beginning
	pause  float64 // mean, after the next failure
	turned float64 // the same after the last rejecting; 0: none was
}

// NewNotificationClock is that of a proxy that begins now, in a fleet of so many, where a drain has a grace of so many seconds (0: not told). Its
// first call is due at once.
func NewNotificationClock(now float64, bank int, grace float64) *NotificationClock {
	if grace <= 0 {
		grace = math.Inf(1)
	}
	return &NotificationClock{bank: max(pauseFirst, float64(bank)*turnedPace), beside: max(min(besideFor, besidePart*grace), besideLeast),
		most: max(min(pauseMost, pausePart*grace), pauseFirst), alive: now, next: now, begun: now, pause: pauseFirst}
}

// NextCall is when a call is due; +Inf while a watch lives.
func (h *NotificationClock) NextCall() float64 { return h.next }

// Silence is for how long no watch has spoken.
func (h *NotificationClock) Silence(now float64) float64 { return now - h.alive }

// Deadline is when all that the agent has counts as told, unless a watch speaks before.
func (h *NotificationClock) Deadline() float64 { return h.alive + countsFor }

// CallStarted notes that a call is made. One that hears nothing is held, and another made beside it, late where discovery turns callers away:
// there each call takes another's room.
func (h *NotificationClock) CallStarted(now float64) {
	h.begun, h.next = now, now+h.beside
	if h.turned > 0 { // danger: what turned it away may be gone, and the call that it holds now dead
		h.next = now + max(h.turned, turnedMost)
	}
}

// EventReceived notes a word of the watch, and returns when all that it tells may have counted as told at the earliest: while a watch lives
// that is now, and with the first word of a new one it is the last word of the one before.
func (h *NotificationClock) EventReceived(now float64, first bool) (since float64) {
	since = now
	if first {
		since = h.alive
	}
	if now-h.begun > silentFor { // danger: a watch that always breaks after its first word would be had again without a pause
		h.pause = pauseFirst
	}
	h.alive, h.next, h.turned = now, math.Inf(1), 0
	return since
}

// CallEnded notes that a call ended and that others are still held or none is, and sets when the next is due: so long after the beginning
// of the last, spread by chance from 0 to 1.
func (h *NotificationClock) CallEnded(now float64, how CallResult, held int, chance float64) {
	pause := h.pause
	switch {
	case how == Rejected:
		h.turned = min(h.bank, turnedMost)
		if now-h.begun >= waitedFor && h.bank > turnedMost { // danger: a fleet that large would take all room there for calls that come to nothing
			h.turned = waitedPart * h.bank
		}
		pause = h.turned
	case held > 0 && h.turned > 0:
		return // a call waits its turn
	case held > 0 || how == NoResponse: // the call beside it has its own time
		h.next = min(h.next, max(now, h.begun+h.beside))
		return
	default:
		h.pause = min(2*h.pause, h.most)
	}
	h.next = max(h.begun+(0.5+chance)*pause, now+pauseFirst/2)
}
