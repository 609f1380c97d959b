// Package cli runs a command line of sub-commands: what is printed where, and what a program ends with. The commands
// themselves are in the packages below this one.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// What a program ends with.
const (
	Done   = 0
	Failed = 1
	Misuse = 2
)

// misused is an error in the words of the call; it ends the program with Misuse and the command's usage.
type misused struct{ error }

// Wrong is an error in the words of a call.
func Wrong(format string, args ...any) error { return misused{fmt.Errorf(format, args...)} }

// New is a sub-command whose flags are on a set of its own.
func New(name, usage, help string, flags *flag.FlagSet, exec func(ctx context.Context, words []string) error) *ffcli.Command {
	return &ffcli.Command{Name: name, ShortUsage: usage, ShortHelp: help, FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			words, err := Words(flags, args)
			if err != nil {
				return err
			}
			return exec(ctx, words)
		}}
}

// Words parses flags that come after words too, and returns the words.
func Words(flags *flag.FlagSet, args []string) (words []string, err error) {
	for len(args) > 0 {
		if strings.HasPrefix(args[0], "-") && args[0] != "-" {
			if err := flags.Parse(args); err != nil {
				if errors.Is(err, flag.ErrHelp) {
					return nil, err
				}
				return nil, misused{errPrinted} // the flag package has said what is wrong
			}
			args = flags.Args()
			continue
		}
		words, args = append(words, args[0]), args[1:]
	}
	return words, nil
}

var errPrinted = errors.New("")

// Run runs one command line and returns what the program ends with.
func Run(ctx context.Context, root *ffcli.Command, args []string, out, errs io.Writer) int {
	root.FlagSet = flag.NewFlagSet(root.Name, flag.ContinueOnError)
	root.FlagSet.SetOutput(errs)
	for _, c := range root.Subcommands {
		c.FlagSet.SetOutput(errs)
		c.FlagSet.Usage = func() { fmt.Fprint(errs, usage(root, c)) }
		c.UsageFunc = func(c *ffcli.Command) string { return usage(root, c) }
	}
	root.UsageFunc = func(*ffcli.Command) string { return list(root) }
	if len(args) == 0 {
		fmt.Fprint(errs, list(root))
		return Misuse
	}
	switch args[0] {
	case "help", "-h", "-help", "--help":
		fmt.Fprint(out, list(root))
		return Done
	}
	known := false
	for _, c := range root.Subcommands {
		known = known || c.Name == args[0]
	}
	if !known {
		fmt.Fprintf(errs, "%s: unknown command %q\n%s", root.Name, args[0], list(root))
		return Misuse
	}
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return Done
		}
		return Misuse
	}
	err := root.Run(ctx)
	var wrong misused
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return Done
	case errors.As(err, &wrong):
		if wrong.error != errPrinted {
			fmt.Fprintf(errs, "%s: %s: %v\n", root.Name, args[0], wrong)
		}
		return Misuse
	}
	fmt.Fprintf(errs, "%s: %v\n", root.Name, err)
	return Failed
}

// list is what a program can do.
func list(root *ffcli.Command) string {
	text := fmt.Sprintf("usage: %s COMMAND [FLAGS]\n\n", root.Name)
	for _, c := range root.Subcommands {
		text += fmt.Sprintf("  %-12s%s\n", c.Name, c.ShortHelp)
	}
	return text + fmt.Sprintf("\n%s COMMAND -h tells a command's flags.\n", root.Name)
}

// usage is how one command is called.
func usage(root, c *ffcli.Command) string {
	text := fmt.Sprintf("usage: %s %s\n\n%s\n", root.Name, c.ShortUsage, c.ShortHelp)
	c.FlagSet.VisitAll(func(f *flag.Flag) {
		value, help := flag.UnquoteUsage(f)
		if f.DefValue != "" && f.DefValue != "false" {
			help += " (default " + f.DefValue + ")"
		}
		text += fmt.Sprintf("  %-18s%s\n", "-"+f.Name+" "+value, help)
	})
	return text
}
