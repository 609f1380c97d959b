package capture

import (
	"cmp"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// Defaults of Options.
const (
	defaultTotalBytes   = 256 << 20
	defaultSegmentBytes = 8 << 20
	defaultSegmentAge   = time.Minute
)

// Options configure where a capture is written and how much of it is kept.
type Options struct {
	Dir     string // folder of the files; empty: no files are written
	Proxy   string // name of the proxy, with which file names begin
	Program string // version of the program

	MaxTotalBytes   int64         // total size of this proxy's files in Dir: the oldest are removed. 0: 256 MiB
	MaxSegmentBytes int64         // size of the calls in a segment, before compression. 0: 8 MiB
	MaxSegmentAge   time.Duration // duration of a segment, by the balancers' clock. 0: a minute

	// RingBytes is the size of the ring in memory that keeps the newest segments until Dump or Trigger writes them to
	// files. 0: there is no ring, and all segments are written to files at once.
	RingBytes int64
	// RejectedShare triggers a dump when more than this share of the requests within a second are rejected. 0: never.
	RejectedShare float64

	StartOn bool // whether the capture is on as soon as it is opened
	// WaitForWriter makes calls wait for a slow disk instead of leaving a gap. It is meant for simulations in virtual
	// time, where waiting delays no request.
	WaitForWriter bool
	Log           logrus.FieldLogger // nil: nothing is logged
}

// Open begins a capture and starts the goroutine that writes it, which Close ends. Nothing is recorded until the
// capture is on. It returns an error if Dir cannot be created.
func Open(o Options) (*Recorder, error) {
	o.MaxTotalBytes = cmp.Or(o.MaxTotalBytes, defaultTotalBytes)
	o.MaxSegmentBytes = cmp.Or(o.MaxSegmentBytes, defaultSegmentBytes)
	o.MaxSegmentAge = cmp.Or(o.MaxSegmentAge, defaultSegmentAge)
	layoutNumber, err := stateLayoutNumber()
	if err != nil {
		return nil, err
	}
	if o.Dir != "" {
		if err := os.MkdirAll(o.Dir, 0o755); err != nil {
			return nil, err
		}
	}
	w := newWriter(o, layoutNumber)
	go w.run()
	return &Recorder{
		writer:        w,
		segmentLimits: segmentLimits{o.MaxSegmentBytes, o.MaxSegmentAge.Seconds()},
		rejections:    rejectionTrigger{maxShare: o.RejectedShare},
		waitForWriter: o.WaitForWriter,
	}, nil
}
