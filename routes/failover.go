package routes

// Failover decides whether a pool's backup serves for it: once the pool has had no server admitted for After, until it has had
// one for Until. Danger: without the second time a pool at the edge would hand its requests to and fro.
type Failover struct {
	ActivateAfter, RecoverAfter float64 // s

	serves  bool
	changed float64 // since when the pool has been as it is
	was     bool    // it had a server admitted then
	began   bool
}

// Active takes in whether the pool has a server admitted, and tells whether its backup is to serve now.
func (s *Failover) Active(now float64, admitted bool) bool {
	if !s.began || admitted != s.was {
		s.began, s.was, s.changed = true, admitted, now
	}
	if lasted := now - s.changed; !s.serves && !admitted && lasted >= s.ActivateAfter || s.serves && admitted && lasted >= s.RecoverAfter {
		s.serves = !s.serves
	}
	return s.serves
}
