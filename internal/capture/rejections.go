package capture

import "lockloom/balance"

const (
	rejectionWindowDuration = 1.0 // s
	minWindowRequests       = 50  // the share of rejections among fewer requests is too noisy
)

// rejectionTrigger detects that the share of rejected requests within a second exceeds a maximum.
type rejectionTrigger struct {
	maxShare float64 // 0: detection is off

	windowBeganAt      float64 // s
	requests, rejected int     // in the window
}

// observe counts a call. It returns true if the call ends a window in which the share of rejections exceeded maxShare.
func (t *rejectionTrigger) observe(call *Call, actions *balance.Actions) bool {
	if t.maxShare == 0 {
		return false
	}
	if call.Kind == RequestArrived {
		t.requests++
	}
	t.rejected += rejectedIn(actions)
	if call.Now < t.windowBeganAt+rejectionWindowDuration {
		return false
	}
	exceeded := t.requests >= minWindowRequests && float64(t.rejected) > t.maxShare*float64(t.requests)
	t.windowBeganAt, t.requests, t.rejected = call.Now, 0, 0
	return exceeded
}

func rejectedIn(actions *balance.Actions) int {
	if actions == nil {
		return 0
	}
	rejected := 0
	for i := range actions.Requests {
		if actions.Requests[i].Reply == balance.Rejected {
			rejected++
		}
	}
	return rejected
}
