package proxycmd

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"lockloom/internal/config"
	"lockloom/proxy"
)

func checking(out, errs io.Writer) *ffcli.Command {
	set := flags("check")
	file := operatorFlag(set)
	return bare("check", "read what serve would be told, or an operator file, and say what is wrong with it", set,
		func() error {
			if *file == "" {
				return check(out)
			}
			s, err := setup(*file, errs)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%s: %d listeners, %d tariffs, %d pools, %d routes, %d limits, %d retry rules\n", *file, len(s.Listeners),
				len(s.Classes), len(s.Pools), len(s.Routes), len(s.File.Limits), len(s.Retries))
			return nil
		})
}

func operatorFlag(set *flag.FlagSet) *string {
	return set.String("operator", "", "the operator's `FILE`: listeners, pools, routes, limits")
}

// setup reads an operator file and prints all that is wrong with it, a line each.
func setup(file string, errs io.Writer) (*config.Config, error) {
	s, faults := config.Open(file)
	if len(faults) == 0 {
		return s, nil
	}
	for _, err := range faults[:len(faults)-1] {
		fmt.Fprintf(errs, "lockloom: %v\n", err)
	}
	return nil, faults[len(faults)-1]
}

// check reads what serve would be told.
func check(out io.Writer) error {
	l, err := proxy.ReadBootstrap(os.Getenv)
	if err != nil {
		return err
	}
	if _, err := proxy.New(l, logrus.New()); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s on %s: %d tariffs, %d known backends, %d proxies, %g cores, %d MB, %d sockets\n", l.Name,
		l.Listen, len(l.Classes), len(l.Known.Entries), l.Proxies, l.Limits.Cores, l.Limits.Memory>>20, l.Limits.Sockets)
	return nil
}
