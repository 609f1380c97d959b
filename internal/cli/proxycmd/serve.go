package proxycmd

import (
	"context"
	"errors"
	"fmt"
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
	"lockloom/internal/cli"
	"lockloom/proxy"
)

// How the Go runtime keeps to the machine's limits.
const (
	heapFraction = 0.6 // of the memory limit, as the collector's aim; the rest is for bursts of buffers
	gcPercent    = 300 // the heap is small: it is collected seldom, unless it nears the aim
)

// Extension is what a program runs beside the proxy, by the operator file.
type Extension interface {
	// Reload puts another operator file in force.
	Reload(*proxy.Config) error
	// Stop is called once the proxy has ended.
	Stop()
}

// StartExtension starts an Extension before the proxy serves.
type StartExtension func(*proxy.Proxy, *proxy.Config, *proxy.BootstrapConfig, logrus.FieldLogger) (Extension, error)

// serveCommand returns the sub-command that runs a proxy, with an extension unless start is nil.
func serveCommand(start StartExtension, errOut cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("serve")
	level := flags.String("log", "info", "the least `level` that is logged: debug, info, warning or error")
	file := operatorFileFlag(flags)
	help := "run a proxy, configured by ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_CONFIG"
	return newFlagsCommand("serve", help, flags, func() error {
		log, err := newLogger(*level, errOut)
		if err != nil {
			return err
		}
		s := &server{operatorFile: *file, startExtension: start, log: log, errOut: errOut}
		defer s.close()
		return s.run()
	})
}

// newLogger returns a logger with a least level.
func newLogger(level string, errOut cli.Output) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(errOut.Writer)
	log.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	minLevel, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("-log: %w", err)
	}
	log.SetLevel(minLevel)
	return log, nil
}

// server is one run of serve.
type server struct {
	operatorFile   string // "": none
	startExtension StartExtension
	log            *logrus.Logger
	errOut         cli.Output

	bootstrap proxy.BootstrapConfig
	proxy     *proxy.Proxy
	extension Extension // nil: none
	listeners []net.Listener
}

// run serves until SIGTERM or an interrupt.
func (s *server) run() error {
	var err error
	if s.bootstrap, err = proxy.ReadBootstrap(os.Getenv); err != nil {
		return err
	}
	if s.proxy, err = proxy.New(s.bootstrap, s.log); err != nil {
		return err
	}
	if err := s.serveAdmin(); err != nil {
		return err
	}
	s.limitRuntime()
	if err := s.configure(); err != nil {
		return err
	}
	platform, err := s.proxy.Listen(s.bootstrap.Listen)
	if err != nil {
		return err
	}
	stopReloading := s.reloadOnHangUp()
	defer stopReloading()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return s.proxy.Serve(ctx, platform)
}

// close ends what run has opened, the last first.
func (s *server) close() {
	if s.extension != nil {
		s.extension.Stop()
	}
	for i := len(s.listeners) - 1; i >= 0; i-- {
		s.listeners[i].Close()
	}
}

// serveAdmin opens the admin endpoint, if there is one. It is the first to answer, while the rest is made ready.
func (s *server) serveAdmin() error {
	if s.bootstrap.AdminAddress == "" {
		return nil
	}
	ln, err := net.Listen("tcp", s.bootstrap.AdminAddress)
	if err != nil {
		return fmt.Errorf("admin endpoint: %w", err)
	}
	s.listeners = append(s.listeners, ln)
	endpoint := &admin.Server{Do: s.proxy.Administer, Log: s.log}
	go func() {
		if err := endpoint.Serve(ln); !errors.Is(err, net.ErrClosed) {
			s.log.WithError(err).Error("admin endpoint has ended")
		}
	}()
	return nil
}

// limitRuntime has the Go runtime keep to the machine's limits. During a hot restart two processes share its memory.
func (s *server) limitRuntime() {
	limits := s.bootstrap.Limits
	runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
	debug.SetGCPercent(gcPercent)
	s.proxy.OnShareChanged = func(share float64) {
		debug.SetMemoryLimit(int64(share * heapFraction * float64(limits.Memory)))
	}
	s.proxy.OnShareChanged(1)
}

// configure puts the operator file in force, if there is one: its listeners, the extension and the proxy.
func (s *server) configure() error {
	if s.operatorFile == "" {
		return nil
	}
	config, err := readOperatorFile(s.operatorFile, s.errOut)
	if err != nil {
		return err
	}
	var listeners []net.Listener
	for _, l := range config.Listeners {
		ln, err := s.proxy.Listen(l.Address)
		if err != nil {
			return fmt.Errorf("%s: listener: %w", s.operatorFile, err)
		}
		listeners = append(listeners, ln)
		s.listeners = append(s.listeners, ln)
	}
	if err := s.extend(config); err != nil {
		return fmt.Errorf("%s: %w", s.operatorFile, err)
	}
	if err := s.proxy.Configure(config, listeners...); err != nil {
		return fmt.Errorf("%s: %w", s.operatorFile, err)
	}
	return nil
}

// extend starts the extension, if the operator file has a table for one.
func (s *server) extend(config *proxy.Config) error {
	if config.ControlPlane == nil && config.Capture == nil {
		return nil
	}
	if s.startExtension == nil {
		return errors.New("control, capture: this program has neither; lockloom-controlplane has")
	}
	extension, err := s.startExtension(s.proxy, config, &s.bootstrap, s.log)
	if err != nil {
		return err
	}
	s.extension = extension
	return nil
}

// reloadOnHangUp reads the launch file and the operator file again on every SIGHUP, until the returned function is
// called. That does not wait for a reload that has begun.
func (s *server) reloadOnHangUp() (stop func()) {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	go func() {
		for range hangUps {
			s.reloadBootstrap()
			s.reloadOperatorFile()
		}
	}()
	return func() {
		signal.Stop(hangUps)
		close(hangUps)
	}
}

// reloadBootstrap puts the launch file in force as it is now.
func (s *server) reloadBootstrap() {
	bootstrap, err := proxy.ReadBootstrap(os.Getenv)
	if err != nil {
		s.log.WithError(err).Error("launch file not reloaded: the previous one stays in force")
		return
	}
	s.proxy.ReloadBootstrap(bootstrap)
}

// reloadOperatorFile puts the operator file in force as it is now, if there is one.
func (s *server) reloadOperatorFile() {
	if s.operatorFile == "" {
		return
	}
	config, err := readOperatorFile(s.operatorFile, s.errOut)
	if err == nil {
		err = s.proxy.ReloadConfig(config)
	}
	if err == nil && s.extension != nil {
		err = s.extension.Reload(config)
	}
	if err != nil {
		s.log.WithError(err).Error("operator file not reloaded: the previous one stays in force")
	}
}
