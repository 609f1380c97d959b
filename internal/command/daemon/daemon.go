// Package daemon is the command line of loomd, the proxy with every front.
package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"lockloom/assign"
	"lockloom/control"
	"lockloom/internal/command"
	"lockloom/internal/command/balancer"
	"lockloom/proxy"
)

// Run runs one command and returns what the program ends with.
func Run(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return command.Run(ctx, &ffcli.Command{Name: "loomd", Subcommands: append(balancer.Commands("loomd", steer, out, errs),
		trying(out), calling(out))}, args, out, errs)
}

// steer is the control service as a front.
func steer(p *proxy.Proxy, s *proxy.Setup, l *proxy.Launch, log logrus.FieldLogger) (balancer.Beside, error) {
	service, err := control.New(s, assign.Terms{ColdShare: l.ColdShare, ColdFor: l.ColdFor, FallMultiple: l.FallMultiple, FallFor: l.FallFor}, log)
	if err != nil {
		return nil, err
	}
	service.Reported = p.Reported
	p.Opine(service.Update)
	serve := func(what, addr string, serve func(net.Listener) error) error {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("control: %s: %w", what, err)
		}
		log.WithField(what, ln.Addr().String()).Info("control service")
		go func() {
			if err := serve(ln); err != nil {
				log.WithError(err).Error("control: " + what + " has ended")
			}
		}()
		return nil
	}
	if s.Control.Status != "" {
		if err := serve("status", s.Control.Status, service.Status); err != nil {
			return nil, err
		}
	}
	if err := serve("address", s.Control.Address, service.Serve); err != nil {
		return nil, err
	}
	return service, nil
}
