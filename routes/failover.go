package routes

// Failover decides when the backup of a pool serves its requests: from when the pool has had no admitted server for
// ActivateAfter, until it has had one for RecoverAfter. The second delay prevents the requests from switching back and
// forth between the pools while the first one flaps.
type Failover struct {
	ActivateAfter float64 // seconds
	RecoverAfter  float64 // seconds

	active   bool
	observed bool    // Active was called
	admitted bool    // the pool had an admitted server at the last call of Active
	since    float64 // time in seconds since which admitted has its value
}

// Active records whether the pool has an admitted server now, and reports whether its backup serves its requests. The
// time now is in seconds.
func (f *Failover) Active(now float64, admitted bool) bool {
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
