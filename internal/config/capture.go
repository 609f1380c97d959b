package config

// Capture is where a proxy's calls on its decisions are recorded; see package capture.
type Capture struct {
	Dir           string  `toml:"dir"`
	On            bool    `toml:"on"`         // from the start
	Address       string  `toml:"address"`    // where operators turn it on and off; empty: nowhere
	TotalMB       int     `toml:"total_mb"`   // of all files of this proxy there; 0: 256
	SegmentMB     int     `toml:"segment_mb"` // of calls, before they are compressed; 0: 8
	Age           float64 `toml:"age"`        // of a segment, in seconds; 0: 60
	RingMB        int     `toml:"ring_mb"`    // cached in memory until it is requested or a trigger fires; 0: files only
	RejectedShare float64 `toml:"dismissed"`  // the fraction of a second's requests whose rejection is a trigger; 0: none
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
		table.fail("dismissed", "it is a trigger for what is kept in memory: ring_mb is 0")
	}
}
