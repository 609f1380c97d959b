package capture

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Status is the state of a capture, as Handler's endpoints return it.
type Status struct {
	On      bool   `json:"on"`
	Failed  bool   `json:"failed"`  // writing failed, and the capture has ended
	Calls   uint64 `json:"calls"`   // calls recorded
	Gaps    uint64 `json:"gaps"`    // places at which calls are missing
	Bytes   int64  `json:"bytes"`   // bytes written, to files or to memory, after compression
	Written int    `json:"written"` // segments that this request wrote to files
}

// Handler returns the handler that controls the capture: POST /on?for=60s, POST /off, POST /dump and GET /. Each
// returns a Status. There is no access control, so it belongs on a loopback address.
func (r *Recorder) Handler() http.Handler {
	c := &controller{recorder: r}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", c.status)
	mux.HandleFunc("POST /on", c.on)
	mux.HandleFunc("POST /off", c.off)
	mux.HandleFunc("POST /dump", c.dump)
	return mux
}

// controller serves the requests of Handler.
type controller struct {
	recorder *Recorder

	mu       sync.Mutex
	offTimer *time.Timer // turns the capture off; nil: never set
}

// set turns the capture on or off. If the duration is not 0, the capture is turned off again after it.
func (c *controller) set(on bool, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.offTimer != nil {
		c.offTimer.Stop()
	}
	c.recorder.Set(on)
	if on && duration > 0 {
		c.offTimer = time.AfterFunc(duration, func() { c.recorder.Set(false) })
	}
}

func (c *controller) status(w http.ResponseWriter, _ *http.Request) { c.writeStatus(w, 0) }

func (c *controller) on(w http.ResponseWriter, request *http.Request) {
	var duration time.Duration
	if text := request.FormValue("for"); text != "" {
		var err error
		duration, err = time.ParseDuration(text)
		if err != nil || duration < 0 {
			http.Error(w, "for: a time, such as 60s", http.StatusBadRequest)
			return
		}
	}
	c.set(true, duration)
	c.writeStatus(w, 0)
}

func (c *controller) off(w http.ResponseWriter, _ *http.Request) {
	c.set(false, 0)
	c.writeStatus(w, 0)
}

func (c *controller) dump(w http.ResponseWriter, _ *http.Request) {
	written, err := c.recorder.Dump()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	c.writeStatus(w, written)
}

func (c *controller) writeStatus(w http.ResponseWriter, written int) {
	r := c.recorder
	status := Status{
		On:      r.On(),
		Failed:  r.writer.failed.Load(),
		Calls:   r.Calls.Load(),
		Gaps:    r.Gaps.Load(),
		Bytes:   r.Bytes(),
		Written: written,
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // an error means that the client has disconnected
}
