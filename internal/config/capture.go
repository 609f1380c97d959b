package config

// Capture is where a proxy's calls on its decisions are recorded; see package capture.
type Capture struct {
	Dir           string  `toml:"dir"`
	On            bool    `toml:"on"`         // from the start
	Address       string  `toml:"address"`    // where staff turn it on and off; empty: nowhere
	TotalMB       int     `toml:"total_mb"`   // of all files of this proxy there; 0: 256
	SegmentMB     int     `toml:"segment_mb"` // of calls, before they are compressed; 0: 8
	Age           float64 `toml:"age"`        // s, of a segment; 0: 60
	RingMB        int     `toml:"ring_mb"`    // kept in memory until it is asked for or a trigger fires; 0: all goes to files at once
	RejectedShare float64 `toml:"dismissed"`  // share of a second's requests whose dismissal is a trigger; 0: none is
}

func (r *reader) capture() {
	c := r.Capture
	if c == nil {
		return
	}
	if c.Dir == "" {
		r.fault("capture", 0, "dir", "missing")
	}
	if c.Address != "" {
		r.loopback("capture", "address", c.Address)
	}
	r.within("capture", 0, "total_mb", float64(c.TotalMB), 0, 1e6)
	r.within("capture", 0, "segment_mb", float64(c.SegmentMB), 0, 1e3)
	r.within("capture", 0, "ring_mb", float64(c.RingMB), 0, 1e4)
	r.within("capture", 0, "age", c.Age, 0, secsMost)
	r.within("capture", 0, "dismissed", c.RejectedShare, 0, 1)
	if c.RejectedShare > 0 && c.RingMB == 0 {
		r.fault("capture", 0, "dismissed", "it is a trigger for what is kept in memory: ring_mb is 0")
	}
}
