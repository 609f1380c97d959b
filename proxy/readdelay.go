package proxy

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// readDelays measures how long received requests wait before this process reads them, and counts the responses that it
// gives without passing the request to a balancer. It is safe for concurrent use. The zero value is ready for use.
type readDelays struct {
	longest      atomic.Int64 // nanoseconds, since the last call of addFields
	ownResponses atomic.Int64 // since the start
}

// observe records the delay from the receipt of a request's head to its reading.
func (d *readDelays) observe(delay time.Duration) {
	for {
		longest := d.longest.Load()
		if int64(delay) <= longest || d.longest.CompareAndSwap(longest, int64(delay)) {
			return
		}
	}
}

// addFields adds the fields of the log message with the counts, and begins a new measurement.
func (d *readDelays) addFields(fields logrus.Fields) {
	longest := time.Duration(d.longest.Swap(0))
	fields["read_delay_ms"] = math.Round(longest.Seconds()*10000) / 10
	fields["own_responses"] = d.ownResponses.Load()
}
