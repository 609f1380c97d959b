package lifecycle

// The timetable of a drain and of a hot restart, in seconds from the order. Four seconds after a drain no connection
// may be idle, or have a request from the last two seconds.
const (
	// DrainNotice is how long connections stay as they are: the front notices a drain within 0.3 s and sends new ones
	// until then.
	DrainNotice = 0.5
	// IdleCloseSpread is the time over which the idle connections close, one after the other.
	IdleCloseSpread = 1.1
	// AdmitDuration is how long requests are admitted: one that is complete later is rejected at once.
	AdmitDuration = 1.8
	// NewConnectionCloseSpread is the age from which on a connection without a request closes, once AdmitDuration is
	// over.
	NewConnectionCloseSpread = 0.3
)

// Process is one process of a proxy: the admin state that it knows, and how far it has come itself.
type Process struct {
	AdminState
	Serving            bool    // it takes clients
	StoppedAt          float64 // when it was ordered to end, in seconds since 1970; 0 if it was not
	PredecessorServing bool    // the process before it still serves
	Terminating        bool    // every connection closes after its response
	SuccessorServing   bool    // the process after it takes clients in its stead
	IdleCloseDeadline  float64 // of a stopped process with a successor: when its last idle connection is to close
}

// WantsClients is the answer to the front: whether the proxy, by this process or another, wants clients.
func (p *Process) WantsClients() bool {
	return !p.Drain.On && (p.SuccessorServing || (p.Serving || p.PredecessorServing) && p.StoppedAt == 0)
}

// Ready is the answer to operators: whether this process takes clients. A drain does not change it.
func (p *Process) Ready() bool { return p.Serving && p.StoppedAt == 0 }

// AcceptsConnections reports whether this process accepts connections.
func (p *Process) AcceptsConnections() bool { return !p.SuccessorServing }

// ClosesAfterResponse reports whether a connection closes with its response.
func (p *Process) ClosesAfterResponse(now float64) bool {
	return p.Terminating || p.drainNoticed(now) || p.replaced()
}

// AdmitsRequests reports whether a request that is complete now is admitted; otherwise it is rejected at once.
func (p *Process) AdmitsRequests(now float64) bool {
	return !p.Drain.On || now < p.Drain.ChangedAt+AdmitDuration
}

// IdleCloseFraction returns the fraction of the idle connections that are to close now, if the next call comes in
// interval seconds, and whether connections that have sent no request yet close too.
func (p *Process) IdleCloseFraction(now, interval float64) (fraction float64, includeNew bool) {
	var end float64
	switch {
	case p.drainNoticed(now):
		end = p.Drain.ChangedAt + DrainNotice + IdleCloseSpread
	case p.replaced():
		end = p.IdleCloseDeadline
	default:
		return 0, false
	}
	fraction = 1
	if now+interval < end {
		fraction = interval / (end - now)
	}
	return fraction, !p.AdmitsRequests(now)
}

// drainNoticed reports whether the proxy is drained and the front has had the time to notice.
func (p *Process) drainNoticed(now float64) bool {
	return p.Drain.On && now >= p.Drain.ChangedAt+DrainNotice
}

// replaced reports whether this process was ordered to end and another serves in its stead.
func (p *Process) replaced() bool { return p.StoppedAt > 0 && p.SuccessorServing }
