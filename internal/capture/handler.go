package capture

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Status is how a capture stands.
type Status struct {
	On      bool   `json:"on"`
	Failed  bool   `json:"failed"`
	Calls   uint64 `json:"calls"`
	Gaps    uint64 `json:"gaps"`
	Bytes   int64  `json:"bytes"`
	Written int    `json:"written"` // segments, by this call
}

// Handler answers those who turn a capture on and off: POST /on?for=60s, /off and /dump, GET /. It is for staff, on loopback.
func (r *Recorder) Handler() http.Handler {
	mux := http.NewServeMux()
	answer := func(w http.ResponseWriter, written int) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(Status{r.On(), r.to.Failed.Load(), r.Calls.Load(), r.Gaps.Load(), r.Bytes(), written})
	}
	var mu sync.Mutex
	var off *time.Timer
	set := func(on bool, long time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if off != nil {
			off.Stop()
		}
		if r.Set(on); on && long > 0 {
			off = time.AfterFunc(long, func() { r.Set(false) })
		}
	}
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) { answer(w, 0) })
	mux.HandleFunc("POST /on", func(w http.ResponseWriter, q *http.Request) {
		var long time.Duration
		if text := q.FormValue("for"); text != "" {
			var err error
			if long, err = time.ParseDuration(text); err != nil || long < 0 {
				http.Error(w, "for: a time, such as 60s", http.StatusBadRequest)
				return
			}
		}
		set(true, long)
		answer(w, 0)
	})
	mux.HandleFunc("POST /off", func(w http.ResponseWriter, _ *http.Request) {
		set(false, 0)
		answer(w, 0)
	})
	mux.HandleFunc("POST /dump", func(w http.ResponseWriter, _ *http.Request) {
		n, err := r.Dump()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		answer(w, n)
	})
	return mux
}
