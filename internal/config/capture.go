package config

// Capture configures the recording of a proxy's calls to its balancers; see package capture.
type Capture struct {
	Dir           string  `toml:"dir"`
	On            bool    `toml:"on"`         // recording starts with the process
	Address       string  `toml:"address"`    // HTTP address where operators turn recording on and off; empty: none
	TotalMB       int     `toml:"total_mb"`   // maximum total size of this proxy's files in Dir; 0: the default of 256
	SegmentMB     int     `toml:"segment_mb"` // maximum size of a segment before compression; 0: the default of 8
	Age           float64 `toml:"age"`        // maximum age of a segment, in seconds; 0: the default of 60
	RingMB        int     `toml:"ring_mb"`    // size of the ring in memory, written on request or by a trigger; 0: none
	RejectedShare float64 `toml:"dismissed"`  // the share of a second's requests whose rejection is a trigger; 0: none
}

const (
	maxTotalMB   = 1e6
	maxSegmentMB = 1e3
	maxRingMB    = 1e4
)

func (r *reader) checkCapture() {
	capture := r.file.Capture
	if capture == nil {
		return
	}
	table := r.table("capture", 0)
	if capture.Dir == "" {
		table.fail("dir", "missing")
	}
	if capture.Address != "" {
		table.checkLoopback("address", capture.Address)
	}
	table.checkRange("total_mb", float64(capture.TotalMB), 0, maxTotalMB)
	table.checkRange("segment_mb", float64(capture.SegmentMB), 0, maxSegmentMB)
	table.checkRange("ring_mb", float64(capture.RingMB), 0, maxRingMB)
	table.checkRange("age", capture.Age, 0, maxSeconds)
	table.checkRange("dismissed", capture.RejectedShare, 0, 1)
	if capture.RejectedShare > 0 && capture.RingMB == 0 {
		table.fail("dismissed", "requires ring_mb above 0: it triggers writing the ring in memory")
	}
}
