package routes

// Failover decides whether a pool's requests go to its backup pool. The backup takes over once the pool has had no
// admitted server for ActivateAfter. The pool takes its requests back once it has had an admitted server for
// RecoverAfter without interruption, so that requests do not switch back and forth while its servers flap.
type Failover struct {
	ActivateAfter float64 // seconds
	RecoverAfter  float64 // seconds

	active   bool
	observed bool    // Update was called at least once
	admitted bool    // the pool had an admitted server at the last call of Update
	since    float64 // time in seconds at which admitted last changed
}

// Update records whether the pool has an admitted server now, and reports whether its requests go to the backup. The
// time now is in seconds.
func (f *Failover) Update(now float64, admitted bool) bool {
	if !f.observed || admitted != f.admitted {
		f.observed, f.admitted, f.since = true, admitted, now
	}
	elapsed := now - f.since
	switch {
	case !f.active && !admitted && elapsed >= f.ActivateAfter:
		f.active = true
	case f.active && admitted && elapsed >= f.RecoverAfter:
		f.active = false
	}
	return f.active
}
