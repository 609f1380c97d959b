package cli

import (
	"context"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// VersionCommand returns the sub-command that prints a program's version.
func VersionCommand(program string, out Output) *ffcli.Command {
	return NewCommand("version", "version", "print the version", NewFlagSet("version"),
		func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return UsageErrorf("unexpected argument %q", args[0])
			}
			out.Println(program, BuildVersion())
			return nil
		})
}

// BuildVersion returns the module version, the Go version and the commit of this build, or "unknown" if the binary has
// no build information.
func BuildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version + " " + info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version
}
