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

// Settings of Go's garbage collector.
const (
	// heapFraction is the share of the proxy's memory limit that becomes the runtime's soft memory limit. The rest is for
	// bursts in which many buffers are allocated.
	heapFraction = 0.6
	// gcPercent is the value of GOGC. The heap is small, so collections are rare unless it nears the soft memory limit.
	gcPercent = 300
)

// Extension is a service that a program runs beside the proxy, configured by the operator file.
type Extension interface {
	// Reload applies a new operator file.
	Reload(*proxy.Config) error
	// Stop is called once the proxy has ended.
	Stop()
}

// StartExtension starts an Extension before the proxy serves.
type StartExtension func(*proxy.Proxy, *proxy.Config, *proxy.BootstrapConfig, logrus.FieldLogger) (Extension, error)

// serveCommand returns the sub-command that runs a proxy, with an extension unless start is nil.
func serveCommand(start StartExtension, errOut cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("serve")
	level := flags.String("log", "info", "minimum `level` to log: debug, info, warning or error")
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

// newLogger returns a logger that drops entries below a level.
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

// server holds the state of one run of serve.
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

// close stops the extension and closes the listeners that run has opened, the last first.
func (s *server) close() {
	if s.extension != nil {
		s.extension.Stop()
	}
	for i := len(s.listeners) - 1; i >= 0; i-- {
		s.listeners[i].Close()
	}
}

// serveAdmin serves the admin endpoint, if one is configured. It answers calls while the rest is still starting.
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
			s.log.WithError(err).Error("admin endpoint: serving failed")
		}
	}()
	return nil
}

// limitRuntime sets GOMAXPROCS, GOGC and the runtime's soft memory limit from the proxy's limits. During a hot restart
// two processes share the proxy's memory limit.
func (s *server) limitRuntime() {
	limits := s.bootstrap.Limits
	runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
	debug.SetGCPercent(gcPercent)
	s.proxy.OnShareChanged = func(share float64) {
		debug.SetMemoryLimit(int64(share * heapFraction * float64(limits.Memory)))
	}
	s.proxy.OnShareChanged(1)
}

// configure applies the operator file, if there is one: it opens the listeners, starts the extension and configures the
// proxy.
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

// extend starts the extension if the operator file has a control or capture table.
func (s *server) extend(config *proxy.Config) error {
	if config.ControlPlane == nil && config.Capture == nil {
		return nil
	}
	if s.startExtension == nil {
		return errors.New("the control and capture tables require lockloom-controlplane")
	}
	extension, err := s.startExtension(s.proxy, config, &s.bootstrap, s.log)
	if err != nil {
		return err
	}
	s.extension = extension
	return nil
}

// reloadOnHangUp reloads the launch file and the operator file on every SIGHUP, until stop is called. stop does not
// wait for a reload in progress.
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

// reloadBootstrap reads the launch file again and applies it.
func (s *server) reloadBootstrap() {
	bootstrap, err := proxy.ReadBootstrap(os.Getenv)
	if err != nil {
		s.log.WithError(err).Error("launch file not reloaded: the previous one stays in force")
		return
	}
	s.proxy.ReloadBootstrap(bootstrap)
}

// reloadOperatorFile reads the operator file again, if there is one, and applies it.
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
