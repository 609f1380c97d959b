package proxycmd

import (
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"lockloom/internal/cli"
	"lockloom/internal/config"
	"lockloom/proxy"
)

// checkCommand returns the sub-command that checks an operator file or the launch file, and prints its errors.
func checkCommand(out, errOut cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("check")
	file := operatorFileFlag(flags)
	help := "check the launch file that serve would read, or an operator file, and print its errors"
	return newFlagsCommand("check", help, flags, func() error {
		if *file == "" {
			return checkBootstrap(out)
		}
		return checkOperatorFile(*file, out, errOut)
	})
}

// operatorFileFlag adds the flag that names an operator file.
func operatorFileFlag(flags *flag.FlagSet) *string {
	return flags.String("operator", "", "operator `FILE` with listeners, pools, routes and limits")
}

// readOperatorFile reads an operator file. It prints all errors but the last, one per line, and returns the last.
func readOperatorFile(file string, errOut cli.Output) (*config.Config, error) {
	c, errs := config.ReadFile(file)
	if len(errs) == 0 {
		return c, nil
	}
	last := len(errs) - 1
	for _, err := range errs[:last] {
		errOut.Printf("lockloom: %v\n", err)
	}
	return nil, errs[last]
}

// checkOperatorFile checks an operator file and prints how many entries of each kind it has.
func checkOperatorFile(file string, out, errOut cli.Output) error {
	c, err := readOperatorFile(file, errOut)
	if err != nil {
		return err
	}
	out.Printf("%s: %d listeners, %d tariffs, %d pools, %d routes, %d limits, %d retry rules\n", file,
		len(c.Listeners), len(c.Classes), len(c.Pools), len(c.Routes), len(c.File.Limits), len(c.Retries))
	return nil
}

// checkBootstrap reads the environment variables and the launch file as serve does, checks that a proxy can be created
// from them, and prints a summary.
func checkBootstrap(out cli.Output) error {
	b, err := proxy.ReadBootstrap(os.Getenv)
	if err != nil {
		return err
	}
	if _, err := proxy.New(b, logrus.New()); err != nil {
		return err
	}
	out.Printf("%s on %s: %d tariffs, %d known backends, %d proxies, %g cores, %d MB, %d sockets\n", b.Name, b.Listen,
		len(b.Classes), len(b.KnownEndpoints.Entries), b.Proxies, b.Limits.Cores, b.Limits.Memory>>20, b.Limits.Sockets)
	return nil
}
