package lifecycle

// The timing of a drain and of a hot restart, in seconds. Four seconds after a drain was requested, no connection may
// be idle, and no request in progress may be younger than two seconds.
const (
	// DrainNotice is how long connections are kept open after a drain was requested. The load balancer in front of the
	// proxy detects the drain within 0.3 s and opens new connections until then.
	DrainNotice = 0.5
	// IdleCloseSpread is the time over which the closing of idle connections is spread. It begins after DrainNotice.
	IdleCloseSpread = 1.1
	// AdmitDuration is how long requests are still admitted after a drain was requested. A request whose last byte is
	// received after that time is rejected immediately.
	AdmitDuration = 1.8
	// NewConnectionCloseSpread is the age from which a connection that has sent no request yet is closed, once
	// AdmitDuration is over.
	NewConnectionCloseSpread = 0.3
)

// Process holds the state of one process of a proxy: its copy of the admin state, and its own lifecycle.
type Process struct {
	AdminState
	Serving            bool    // it accepts clients
	StoppedAt          float64 // when it was requested to stop, in seconds since 1970; 0: not yet
	PredecessorServing bool    // the previous process still serves
	Terminating        bool    // every connection is closed after its next response
	SuccessorServing   bool    // the next process accepts clients in place of this one
	IdleCloseDeadline  float64 // when a replaced process must have closed all idle connections, in seconds since 1970
}

// AcceptsNewClients reports whether the load balancer in front of the proxy may send new clients to it. They may be
// accepted by this process, its predecessor or its successor.
func (p *Process) AcceptsNewClients() bool {
	return !p.Drain.On && (p.SuccessorServing || (p.Serving || p.PredecessorServing) && p.StoppedAt == 0)
}

// Ready reports whether this process accepts clients, for operators. It does not depend on a drain.
func (p *Process) Ready() bool { return p.Serving && p.StoppedAt == 0 }

// AcceptsConnections reports whether this process, rather than its successor, accepts connections.
func (p *Process) AcceptsConnections() bool { return !p.SuccessorServing }

// ClosesAfterResponse reports whether each client connection is closed after its next response: because this process is
// terminating, because its drain was requested at least DrainNotice ago, or because its successor has replaced it.
func (p *Process) ClosesAfterResponse(now float64) bool {
	return p.Terminating || p.drainNoticed(now) || p.replaced()
}

// AdmitsRequests reports whether a request whose last byte is received now is admitted. If not, it is rejected
// immediately.
func (p *Process) AdmitsRequests(now float64) bool {
	return !p.Drain.On || now < p.Drain.ChangedAt+AdmitDuration
}

// IdleCloseFraction returns the fraction of the idle connections to close now, if it is called again after interval
// seconds, and whether connections that have sent no request yet must be closed too.
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

// drainNoticed reports whether the proxy is drained and the load balancer in front has had time to detect it.
func (p *Process) drainNoticed(now float64) bool {
	return p.Drain.On && now >= p.Drain.ChangedAt+DrainNotice
}

// replaced reports whether this process was requested to stop and its successor already accepts clients in its place.
func (p *Process) replaced() bool { return p.StoppedAt > 0 && p.SuccessorServing }
