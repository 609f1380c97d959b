// Package controlplanecmd is the command line of lockloom-controlplane, the proxy with every front.
package controlplanecmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
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
	brokenEvery = time.Second     // between looks whether an invariant was broken
	headWait    = 2 * time.Second // for a call's head, where staff ask
)

// Run runs one command and returns what the program ends with.
func Run(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cli.Run(ctx, &ffcli.Command{Name: "lockloom-controlplane", Subcommands: append(proxycmd.Commands("lockloom-controlplane", begin, out, errs),
		trying(out), calling(out))}, args, out, errs)
}

// fronts are what runs beside a proxy.
type fronts struct {
	log     logrus.FieldLogger
	control *controlplane.Service
	capture *capture.Recorder
	quit    chan struct{}
}

// begin begins those that the operator file has tables for.
func begin(p *proxy.Proxy, s *proxy.Config, l *proxy.BootstrapConfig, log logrus.FieldLogger) (proxycmd.Beside, error) {
	f := &fronts{log: log, quit: make(chan struct{})}
	if s.Capture != nil {
		if err := f.record(p, s, l); err != nil {
			return nil, err
		}
	}
	if s.ControlPlane != nil {
		if err := f.steer(p, s, l); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// Operate takes in another operator file. A capture changes with the next start, or by its address.
func (f *fronts) Operate(s *proxy.Config) error {
	if f.control != nil {
		return f.control.Reload(s)
	}
	return nil
}

// Stop ends them, once the proxy has ended.
func (f *fronts) Stop() {
	close(f.quit)
	if f.control != nil {
		f.control.Stop()
	}
	if f.capture != nil {
		if err := f.capture.Close(); err != nil {
			f.log.WithError(err).Error("capture")
		}
	}
}

// open serves at an address.
func (f *fronts) open(table, what, addr string, serve func(net.Listener) error) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("%s: %s: %w", table, what, err)
	}
	f.log.WithField(what, ln.Addr().String()).Info(table)
	go func() {
		if err := serve(ln); err != nil {
			f.log.WithError(err).Error(table + ": " + what + " has ended")
		}
	}()
	return nil
}

// steer is the control service.
func (f *fronts) steer(p *proxy.Proxy, s *proxy.Config, l *proxy.BootstrapConfig) error {
	service, err := controlplane.New(s, assignment.Settings{SlowStartFraction: l.SlowStartFraction, SlowStartDuration: l.SlowStartDuration, CrashFactor: l.CrashFactor, CrashDuration: l.CrashDuration}, f.log)
	if err != nil {
		return err
	}
	f.control = service
	service.OutcomesReported = p.OutcomesReported
	p.OnEstimates(service.Update)
	if s.ControlPlane.Status != "" {
		if err := f.open("control", "status", s.ControlPlane.Status, service.ServeStatus); err != nil {
			return err
		}
	}
	return f.open("control", "address", s.ControlPlane.Address, service.Serve)
}

// captured are a pool's decisions through a recorder.
type captured struct{ *capture.Balancer }

func (c captured) RequestArrived(now float64, a balance.RequestInfo, id string) (proxy.RequestHandle, *balance.Actions) {
	return c.Balancer.RequestArrived(now, a, id)
}

// record captures the decisions of every pool.
func (f *fronts) record(p *proxy.Proxy, s *proxy.Config, l *proxy.BootstrapConfig) error {
	c := s.Capture
	r, err := capture.Open(capture.Options{Dir: c.Dir, Proxy: l.Name, Program: cli.Version(), MaxTotalBytes: int64(c.TotalMB) << 20, MaxSegmentBytes: int64(c.SegmentMB) << 20,
		MaxSegmentAge: time.Duration(c.Age * float64(time.Second)), RingBytes: int64(c.RingMB) << 20, StartOn: c.On, RejectedShare: c.RejectedShare, Log: f.log})
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	f.capture = r
	p.Capture(func(pool string, b *balance.Balancer) proxy.Decisions { return captured{r.Balancer(pool, b)} })
	go f.triggers(r, c.RingMB > 0)
	if c.Address == "" {
		return nil
	}
	return f.open("capture", "address", c.Address, func(ln net.Listener) error {
		server := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: headWait, IdleTimeout: headWait}
		go func() {
			<-f.quit
			server.Close()
		}()
		if err := server.Serve(ln); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
}

// triggers writes what is kept in memory when an invariant is broken, or on SIGUSR2; without a ring the signal turns a capture on or off.
func (f *fronts) triggers(r *capture.Recorder, ring bool) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR2)
	defer signal.Stop(signals)
	look := time.NewTicker(brokenEvery)
	defer look.Stop()
	for seen := 0; ; {
		select {
		case <-f.quit:
			return
		case <-signals:
			if ring {
				r.Trigger("SIGUSR2")
			} else {
				r.Set(!r.On())
				f.log.WithField("on", r.On()).Info("capture")
			}
		case <-look.C:
			n := 0
			for _, times := range invariant.Broken() {
				n += times
			}
			if n > seen {
				r.Trigger("a broken invariant")
			}
			seen = n
		}
	}
}
