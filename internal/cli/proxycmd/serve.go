package proxycmd

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"lockloom/internal/admin"
	"lockloom/proxy"
)

// What of the machine's limits the runtime is told.
const (
	memoryPart = 0.6 // of the memory limit is the collector's aim; buffers come in bursts
	gcPercent  = 300 // a small heap: collect seldom, the memory aim permitting
)

// Front is what a program serves beside the proxy's own listeners, by the operator file. It is made before the proxy serves.
type Front func(p *proxy.Proxy, s *proxy.Config, l *proxy.BootstrapConfig, log logrus.FieldLogger) (Beside, error)

// Beside is such a front at work.
type Beside interface {
	Operate(s *proxy.Config) error // by another file from now on
	Stop()
}

// serving is the command that runs a proxy, with a front or none.
func serving(errs io.Writer, front Front) *ffcli.Command {
	set := flags("serve")
	level := set.String("log", "info", "the least `level` that is logged: debug, info, warning or error")
	file := operatorFlag(set)
	return bare("serve", "run a proxy, told by ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_CONFIG", set,
		func() error { return serve(*level, *file, errs, front) })
}

func serve(level, file string, errs io.Writer, front Front) error {
	log := logrus.New()
	log.SetOutput(errs)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	least, err := logrus.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("-log: %w", err)
	}
	log.SetLevel(least)
	l, err := proxy.ReadBootstrap(os.Getenv)
	if err != nil {
		return err
	}
	p, err := proxy.New(l, log)
	if err != nil {
		return err
	}
	if l.AdminAddress != "" { // before all else: it answers while the rest is being made ready
		ln, err := net.Listen("tcp", l.AdminAddress)
		if err != nil {
			return fmt.Errorf("operators' door: %w", err)
		}
		defer ln.Close()
		go (&admin.Server{Do: p.Administer, Log: log}).Serve(ln)
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Limits.Cores))))
	debug.SetGCPercent(gcPercent)
	p.OnShareChanged = func(part float64) { debug.SetMemoryLimit(int64(part * memoryPart * float64(l.Limits.Memory))) }
	p.OnShareChanged(1)
	var beside Beside
	if file != "" {
		s, err := setup(file, errs)
		if err != nil {
			return err
		}
		var more []net.Listener
		for _, l := range s.Listeners {
			ln, err := p.Listen(l.Address)
			if err != nil {
				return fmt.Errorf("%s: listener: %w", file, err)
			}
			defer ln.Close()
			more = append(more, ln)
		}
		switch {
		case s.ControlPlane == nil && s.Capture == nil:
		case front == nil:
			return fmt.Errorf("%s: control, capture: this program has neither; lockloom-controlplane has", file)
		default:
			if beside, err = front(p, s, &l, log); err != nil {
				return fmt.Errorf("%s: %w", file, err)
			}
			defer beside.Stop()
		}
		if err := p.Configure(s, more...); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	ln, err := p.Listen(l.Listen)
	if err != nil {
		return err
	}
	anew := make(chan os.Signal, 1)
	signal.Notify(anew, syscall.SIGHUP)
	defer close(anew)
	defer signal.Stop(anew)
	go func() {
		for range anew {
			if l, err := proxy.ReadBootstrap(os.Getenv); err != nil {
				log.WithError(err).Error("not told anew: what held before still holds")
			} else {
				p.ReloadBootstrap(l)
			}
			if file == "" {
				continue
			}
			s, err := setup(file, errs)
			if err == nil {
				err = p.ReloadConfig(s)
			}
			if err == nil && beside != nil {
				err = beside.Operate(s)
			}
			if err != nil {
				log.WithError(err).Error("not operated anew: what held before still holds")
			}
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return p.Serve(ctx, ln)
}
