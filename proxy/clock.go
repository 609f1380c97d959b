package proxy

import "time"

// clock converts between times of this process and the decisions' time: seconds since 1970, in which servers report
// when they started. It never steps back. It may be used by any goroutine.
type clock struct {
	startedAt time.Time
}

// now is the present time in seconds since 1970.
func (c clock) now() float64 { return c.stamp(time.Now()) }

// stamp is a time in seconds since 1970.
func (c clock) stamp(t time.Time) float64 {
	return float64(c.startedAt.UnixMicro())/1e6 + t.Sub(c.startedAt).Seconds()
}

// at is the time of a stamp.
func (c clock) at(stamp float64) time.Time {
	return c.startedAt.Add(seconds(stamp - float64(c.startedAt.UnixMicro())/1e6))
}

// seconds is a duration given in seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
