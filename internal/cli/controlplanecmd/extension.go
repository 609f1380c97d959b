package controlplanecmd

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"lockloom/assignment"
	"lockloom/balance"
	"lockloom/controlplane"
	"lockloom/internal/capture"
	"lockloom/internal/cli"
	"lockloom/internal/cli/proxycmd"
	"lockloom/internal/invariant"
	"lockloom/proxy"
)

const (
	invariantInterval = time.Second     // between checks for broken invariants
	headTimeout       = 2 * time.Second // for a request's head, and for an idle connection, at the capture address
)

// extension is the proxycmd.Extension of lockloom-controlplane. It runs a control plane and a capture in the process of
// the proxy, each only if the operator file has its table.
type extension struct {
	log          logrus.FieldLogger
	controlPlane *controlplane.Service
	recorder     *capture.Recorder
	stopped      chan struct{} // closed by Stop
}

// startExtension implements proxycmd.StartExtension.
func startExtension(
	p *proxy.Proxy, config *proxy.Config, bootstrap *proxy.BootstrapConfig, log logrus.FieldLogger,
) (proxycmd.Extension, error) {
	e := &extension{log: log, stopped: make(chan struct{})}
	if config.Capture != nil {
		if err := e.startCapture(p, config, bootstrap); err != nil {
			return nil, err
		}
	}
	if config.ControlPlane != nil {
		if err := e.startControlPlane(p, config, bootstrap); err != nil {
			e.Stop()
			return nil, err
		}
	}
	return e, nil
}

// Reload applies a new operator file to the control plane. The capture table takes effect at the next start; until then
// the capture changes only by calls to its address.
func (e *extension) Reload(config *proxy.Config) error {
	if e.controlPlane != nil {
		return e.controlPlane.Reload(config)
	}
	return nil
}

// Stop stops the control plane and the capture. Call it once the proxy has ended.
func (e *extension) Stop() {
	close(e.stopped)
	if e.controlPlane != nil {
		e.controlPlane.Stop()
	}
	if e.recorder != nil {
		if err := e.recorder.Close(); err != nil {
			e.log.WithError(err).Error("capture")
		}
	}
}

// serveAt listens on an address, which the operator file sets by a key of a table, and serves it in the background.
func (e *extension) serveAt(table, key, addr string, serve func(net.Listener) error) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("%s: %s: %w", table, key, err)
	}
	e.log.WithField(key, ln.Addr().String()).Info(table)
	go func() {
		if err := serve(ln); err != nil {
			e.log.WithError(err).Error(table + ": " + key + ": serving failed")
		}
	}()
	return nil
}

// startControlPlane starts the xDS service and its status address.
func (e *extension) startControlPlane(p *proxy.Proxy, config *proxy.Config, bootstrap *proxy.BootstrapConfig) error {
	service, err := controlplane.New(config, assignment.Settings{
		SlowStartFraction: bootstrap.SlowStartFraction,
		SlowStartDuration: bootstrap.SlowStartDuration,
		CrashFactor:       bootstrap.CrashFactor,
		CrashDuration:     bootstrap.CrashDuration,
	}, e.log)
	if err != nil {
		return err
	}
	e.controlPlane = service
	service.OutcomesReported = p.ReportOutcomes
	p.OnEstimates(service.Update)
	if config.ControlPlane.Status != "" {
		if err := e.serveAt("control", "status", config.ControlPlane.Status, service.ServeStatus); err != nil {
			return err
		}
	}
	return e.serveAt("control", "address", config.ControlPlane.Address, service.Serve)
}

// recordedDecisions implements proxy.Decider with a balancer whose calls are recorded.
type recordedDecisions struct{ *capture.Balancer }

// RequestArrived implements proxy.Decider.
func (d recordedDecisions) RequestArrived(
	now float64, request balance.RequestInfo, id string,
) (proxy.RequestHandle, *balance.Actions) {
	return d.Balancer.RequestArrived(now, request, id)
}

// startCapture opens the recorder, has it record the decisions of every pool, and serves its address.
func (e *extension) startCapture(p *proxy.Proxy, config *proxy.Config, bootstrap *proxy.BootstrapConfig) error {
	c := config.Capture
	recorder, err := capture.Open(capture.Options{
		Dir:             c.Dir,
		Proxy:           bootstrap.Name,
		Program:         cli.BuildVersion(),
		MaxTotalBytes:   int64(c.TotalMB) << 20,
		MaxSegmentBytes: int64(c.SegmentMB) << 20,
		MaxSegmentAge:   time.Duration(c.Age * float64(time.Second)),
		RingBytes:       int64(c.RingMB) << 20,
		StartOn:         c.On,
		RejectedShare:   c.RejectedShare,
		Log:             e.log,
	})
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	e.recorder = recorder
	p.Capture(func(pool string, b *balance.Balancer) proxy.Decider {
		return recordedDecisions{recorder.Balancer(pool, b)}
	})
	go e.triggerCapture(recorder, c.RingMB > 0)
	if c.Address == "" {
		return nil
	}
	return e.serveAt("capture", "address", c.Address, func(ln net.Listener) error {
		return e.serveHTTP(ln, recorder.Handler())
	})
}

// serveHTTP serves HTTP on a listener until Stop is called.
func (e *extension) serveHTTP(ln net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headTimeout, IdleTimeout: headTimeout}
	go func() {
		<-e.stopped
		if err := server.Close(); err != nil {
			e.log.WithError(err).Error("capture: address")
		}
	}()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// triggerCapture writes the capture's ring in memory to files when an invariant is broken and on SIGUSR2, until Stop is
// called. Without a ring, SIGUSR2 turns the capture on or off.
func (e *extension) triggerCapture(recorder *capture.Recorder, hasRing bool) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR2)
	defer signal.Stop(signals)
	check := time.NewTicker(invariantInterval)
	defer check.Stop()
	for seen := 0; ; {
		select {
		case <-e.stopped:
			return
		case <-signals:
			e.handleSignal(recorder, hasRing)
		case <-check.C:
			broken := brokenInvariants()
			if broken > seen {
				recorder.Trigger("an invariant was broken")
			}
			seen = broken
		}
	}
}

// handleSignal handles SIGUSR2.
func (e *extension) handleSignal(recorder *capture.Recorder, hasRing bool) {
	if hasRing {
		recorder.Trigger("SIGUSR2")
		return
	}
	recorder.Set(!recorder.On())
	e.log.WithField("on", recorder.On()).Info("capture")
}

// brokenInvariants returns how many times invariants were broken so far.
func brokenInvariants() int {
	total := 0
	for _, times := range invariant.Broken() {
		total += times
	}
	return total
}
