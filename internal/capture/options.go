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

// Options tell where a capture goes, and how much of it is kept.
type Options struct {
	Dir     string // of the files; empty: none are written
	Proxy   string // its name
	Program string // its version

	MaxTotalBytes   int64         // of all files of this proxy in Dir; the oldest are removed. 0: 256 MiB
	MaxSegmentBytes int64         // of calls in a segment, before compression. 0: 8 MiB
	MaxSegmentAge   time.Duration // 0: a minute

	// RingBytes is how much is kept in memory, the newest segments, until Dump or Trigger writes it to files.
	// 0: everything is written to files at once.
	RingBytes int64
	// RejectedShare is the share of a second's requests whose rejection triggers a dump. 0: none does.
	RejectedShare float64

	StartOn bool // whether the capture is on from the start
	// WaitForWriter makes calls wait for a slow disk instead of leaving a gap. It is for virtual time, where waiting
	// delays nobody.
	WaitForWriter bool
	Log           logrus.FieldLogger // nil: nothing is logged
}

// Open begins a capture and starts the goroutine that writes it, which Close ends. Nothing is recorded until the
// capture is on. It returns an error if Dir cannot be made.
func Open(o Options) (*Recorder, error) {
	o.MaxTotalBytes = cmp.Or(o.MaxTotalBytes, defaultTotalBytes)
	o.MaxSegmentBytes = cmp.Or(o.MaxSegmentBytes, defaultSegmentBytes)
	o.MaxSegmentAge = cmp.Or(o.MaxSegmentAge, defaultSegmentAge)
	form, err := stateForm()
	if err != nil {
		return nil, err
	}
	if o.Dir != "" {
		if err := os.MkdirAll(o.Dir, 0o755); err != nil {
			return nil, err
		}
	}
	w := newWriter(o, form)
	go w.run()
	return &Recorder{
		writer:        w,
		segmentLimits: segmentLimits{o.MaxSegmentBytes, o.MaxSegmentAge.Seconds()},
		rejections:    rejectionTrigger{maxShare: o.RejectedShare},
		waits:         o.WaitForWriter,
	}, nil
}
