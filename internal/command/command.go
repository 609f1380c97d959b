// Package command is the command line of lockloom.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"lockloom/internal/heads"
	"lockloom/proxy"
)

// What a command ends with.
const (
	done   = 0
	failed = 1
	misuse = 2
)

const usage = `usage: lockloom COMMAND [FLAGS]

  serve     run a proxy, told by ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_CONFIG
  up ADDR   ask the proxy that listens at ADDR whether it takes lookups
  check     read what serve would be told, and say what is wrong with it
  version   say what this is

lockloom COMMAND -h tells a command's flags.
`

// Run runs one command and returns what the program ends with.
func Run(args []string, out, errs io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(errs, usage)
		return misuse
	}
	flags := flag.NewFlagSet("lockloom "+args[0], flag.ContinueOnError)
	flags.SetOutput(errs)
	level, words := "info", 0
	var run func() error
	switch args[0] {
	case "serve":
		flags.StringVar(&level, "log", level, "the least level that is logged: debug, info, warning or error")
		run = func() error { return serve(level, errs) }
	case "up":
		words = 1
		run = func() error { return up(flags.Arg(0), out) }
	case "check":
		run = func() error { return check(out) }
	case "version":
		run = func() error {
			fmt.Fprintln(out, "lockloom", version())
			return nil
		}
	case "help", "-h", "-help", "--help":
		fmt.Fprint(out, usage)
		return done
	default:
		fmt.Fprintf(errs, "lockloom: unknown command %q\n%s", args[0], usage)
		return misuse
	}
	if err := flags.Parse(args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return done
		}
		return misuse
	}
	if flags.NArg() < words {
		fmt.Fprintf(errs, "lockloom: %s: the proxy's address is missing\n%s", args[0], usage)
		return misuse
	}
	if flags.NArg() > words {
		fmt.Fprintf(errs, "lockloom: %s takes no further words\n%s", args[0], usage)
		return misuse
	}
	if err := run(); err != nil {
		fmt.Fprintln(errs, "lockloom:", err)
		return failed
	}
	return done
}

// The constants of the command line, and what of the machine's limits the runtime is told.
const (
	askFor     = 2 * time.Second // for a proxy to tell whether it is up
	memoryPart = 0.6             // of the memory limit is the collector's aim; buffers come in bursts
	gcPercent  = 300             // a small heap: collect seldom, the memory aim permitting
)

func serve(level string, errs io.Writer) error {
	log := logrus.New()
	log.SetOutput(errs)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	least, err := logrus.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("-log: %w", err)
	}
	log.SetLevel(least)
	l, err := proxy.ReadLaunch(os.Getenv)
	if err != nil {
		return err
	}
	p, err := proxy.New(l, log)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Limits.Cores))))
	debug.SetMemoryLimit(int64(memoryPart * float64(l.Limits.Memory)))
	debug.SetGCPercent(gcPercent)
	ln, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return err
	}
	anew := make(chan os.Signal, 1)
	signal.Notify(anew, syscall.SIGHUP)
	defer close(anew)
	defer signal.Stop(anew)
	go func() {
		for range anew {
			if l, err := proxy.ReadLaunch(os.Getenv); err != nil {
				log.WithError(err).Error("not told anew: what held before still holds")
			} else {
				p.Reload(l)
			}
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return p.Serve(ctx, ln)
}

// up asks a proxy whether it is ready.
func up(addr string, out io.Writer) error {
	conn, err := net.DialTimeout("tcp", addr, askFor)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(askFor))
	if _, err := fmt.Fprintf(conn, "GET /up HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", addr); err != nil {
		return err
	}
	h, err := heads.NewReader(conn).Response()
	if err != nil {
		return err
	}
	if h.Status != 200 {
		return fmt.Errorf("%s does not take lookups: %d", addr, h.Status)
	}
	fmt.Fprintln(out, addr, "takes lookups")
	return nil
}

// check reads what serve would be told.
func check(out io.Writer) error {
	l, err := proxy.ReadLaunch(os.Getenv)
	if err != nil {
		return err
	}
	if _, err := proxy.New(l, logrus.New()); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s on %s: %d tariffs, %d known backends, %d proxies, %g cores, %d MB, %d sockets\n", l.Name,
		l.Listen, len(l.Tariffs), len(l.Known.Entries), l.Proxies, l.Limits.Cores, l.Limits.Memory>>20, l.Limits.Sockets)
	return nil
}

// version is what the build says of itself.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version + " " + info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text
}
