package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Versions is the command that says what a program is.
func Versions(program string, out io.Writer) *ffcli.Command {
	return New("version", "version", "say what this is", flag.NewFlagSet("version", flag.ContinueOnError),
		func(_ context.Context, words []string) error {
			if len(words) > 0 {
				return Wrong("it takes no further words")
			}
			fmt.Fprintln(out, program, Version())
			return nil
		})
}

// Version is what the build says of itself.
func Version() string {
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
