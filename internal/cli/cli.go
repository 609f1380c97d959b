// Package cli runs a command line of sub-commands: it parses the arguments, prints usage and errors, and returns the
// program's exit code. The sub-commands themselves are in the packages below this one.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// The exit codes of a program.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2 // invalid arguments
)

// usageError is an error in a program's arguments. The program exits with ExitUsage.
type usageError struct{ error }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.error }

// errPrinted stands for an error that the flag package has already printed.
var errPrinted = errors.New("")

// UsageErrorf returns an error in a program's arguments. The program exits with ExitUsage.
func UsageErrorf(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// Exec runs a sub-command with the arguments that are not flags.
type Exec func(ctx context.Context, args []string) error

// NewFlagSet returns an empty set of flags for a sub-command.
func NewFlagSet(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }

// NewCommand returns a sub-command whose flags may stand before, between and after its other arguments.
func NewCommand(name, usage, help string, flags *flag.FlagSet, exec Exec) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: usage,
		ShortHelp:  help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			args, err := ParseArgs(flags, args)
			if err != nil {
				return err
			}
			return exec(ctx, args)
		},
	}
}

// ParseArgs parses flags wherever they are among the arguments, and returns the other arguments.
func ParseArgs(flags *flag.FlagSet, args []string) (others []string, err error) {
	for len(args) > 0 {
		if !strings.HasPrefix(args[0], "-") || args[0] == "-" {
			others = append(others, args[0])
			args = args[1:]
			continue
		}
		if err := flags.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, usageError{errPrinted}
		}
		args = flags.Args()
	}
	return others, nil
}

// Run runs a command line, prints its error if there is one, and returns the exit code.
func Run(ctx context.Context, root *ffcli.Command, args []string, out, errOut io.Writer) int {
	stdout, stderr := Output{out}, Output{errOut}
	configureUsage(root, stderr)
	if len(args) == 0 {
		stderr.Printf("%s", commandList(root))
		return ExitUsage
	}
	switch args[0] {
	case "help", "-h", "-help", "--help":
		stdout.Printf("%s", commandList(root))
		return ExitOK
	}
	if !slices.ContainsFunc(root.Subcommands, func(c *ffcli.Command) bool { return c.Name == args[0] }) {
		stderr.Printf("%s: unknown command %q\n%s", root.Name, args[0], commandList(root))
		return ExitUsage
	}
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitUsage
	}
	return exitCode(root.Name, args[0], root.Run(ctx), stderr)
}

// configureUsage sets the usage texts of a program and its sub-commands, and prints them to stderr.
func configureUsage(root *ffcli.Command, stderr Output) {
	root.FlagSet = NewFlagSet(root.Name)
	root.FlagSet.SetOutput(stderr)
	root.UsageFunc = func(*ffcli.Command) string { return commandList(root) }
	for _, c := range root.Subcommands {
		c.FlagSet.SetOutput(stderr)
		c.FlagSet.Usage = func() { stderr.Printf("%s", usage(root, c)) }
		c.UsageFunc = func(c *ffcli.Command) string { return usage(root, c) }
	}
}

// exitCode prints the error that a command returned, if any, and returns the exit code.
func exitCode(program, command string, err error, stderr Output) int {
	var argsErr usageError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &argsErr):
		if !errors.Is(argsErr, errPrinted) {
			stderr.Printf("%s: %s: %v\n", program, command, argsErr)
		}
		return ExitUsage
	}
	stderr.Printf("%s: %v\n", program, err)
	return ExitFailure
}

// commandList returns the usage of a program.
func commandList(root *ffcli.Command) string {
	var text strings.Builder
	fmt.Fprintf(&text, "usage: %s COMMAND [FLAGS]\n\n", root.Name)
	for _, c := range root.Subcommands {
		fmt.Fprintf(&text, "  %-12s%s\n", c.Name, c.ShortHelp)
	}
	fmt.Fprintf(&text, "\n%s COMMAND -h prints a command's flags.\n", root.Name)
	return text.String()
}

// usage returns the usage of a sub-command.
func usage(root, c *ffcli.Command) string {
	var text strings.Builder
	fmt.Fprintf(&text, "usage: %s %s\n\n%s\n", root.Name, c.ShortUsage, c.ShortHelp)
	c.FlagSet.VisitAll(func(f *flag.Flag) {
		value, help := flag.UnquoteUsage(f)
		if f.DefValue != "" && f.DefValue != "false" {
			help += " (default " + f.DefValue + ")"
		}
		fmt.Fprintf(&text, "  %-18s%s\n", "-"+f.Name+" "+value, help)
	})
	return text.String()
}
