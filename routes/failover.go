package routes

// Failover decides whether a pool's backup serves for it: from when the pool has had no server admitted for
// ActivateAfter, until it has had one for RecoverAfter. The second delay keeps a pool that comes and goes from sending
// its requests to and fro.
type Failover struct {
	ActivateAfter float64 // seconds
	RecoverAfter  float64 // seconds

	active   bool
	observed bool    // Active was called
	admitted bool    // the pool had a server admitted at the last call
	since    float64 // when that changed
}

// Active records whether the pool has a server admitted now, and reports whether its backup is to serve. The time is in
// seconds.
func (f *Failover) Active(now float64, admitted bool) bool {
	if !f.observed || admitted != f.admitted {
		f.observed, f.admitted, f.since = true, admitted, now
	}
	lasted := now - f.since
	switch {
	case !f.active && !admitted && lasted >= f.ActivateAfter:
		f.active = true
	case f.active && admitted && lasted >= f.RecoverAfter:
		f.active = false
	}
	return f.active
}
