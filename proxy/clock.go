package proxy

import "time"

// clock converts between time.Time and the time that the balancers use, in seconds since 1970. The start times that
// servers report are in the same unit. The clock is monotonic. Any goroutine may use it.
type clock struct {
	startedAt time.Time
}

// now returns the current time in seconds since 1970.
func (c clock) now() float64 { return c.toUnixSeconds(time.Now()) }

// toUnixSeconds converts a time to seconds since 1970.
func (c clock) toUnixSeconds(t time.Time) float64 {
	return float64(c.startedAt.UnixMicro())/1e6 + t.Sub(c.startedAt).Seconds()
}

// fromUnixSeconds converts seconds since 1970 to a time.
func (c clock) fromUnixSeconds(stamp float64) time.Time {
	return c.startedAt.Add(seconds(stamp - float64(c.startedAt.UnixMicro())/1e6))
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
