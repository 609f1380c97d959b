package controlplane

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// ServeStatus answers GET /subscribers with Rows in JSON. It is for staff, on loopback.
func (s *Service) ServeStatus(ln net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /subscribers", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(s.Subscribers())
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, IdleTimeout: time.Second}
	go func() {
		<-s.quit
		server.Close()
	}()
	if err := server.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	return nil
}
