package ctlcmd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
)

// diffCommand returns the sub-command that replays captures with two builds and compares the decisions they make.
func diffCommand(out cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("diff")
	other := flags.String("with", "", "another build's lockloomctl `program`")
	maxPrinted := flags.Int("most", 10, "print at most this `number` of differences")
	help := "replay captures with this build and another one, and show where their decisions differ"
	return cli.NewCommand("diff", "diff FILE|FOLDER... -with PROGRAM", help, flags,
		func(ctx context.Context, args []string) error {
			files, err := captureFiles(args)
			if err != nil {
				return err
			}
			if *other == "" {
				return cli.UsageErrorf("-with: missing")
			}
			own, err := os.Executable()
			if err != nil {
				return err
			}
			ours, err := choicesOf(ctx, own, files)
			if err != nil {
				return err
			}
			theirs, err := choicesOf(ctx, *other, files)
			if err != nil {
				return err
			}
			printDifferences(out, ours, theirs, *maxPrinted)
			return nil
		})
}

// choicesOf runs a build of lockloomctl that replays captures, and returns the decisions that it prints, one per line.
func choicesOf(ctx context.Context, program string, files []string) ([]string, error) {
	args := append([]string{"replay", "-loose", "-choices"}, files...)
	text, err := exec.CommandContext(ctx, program, args...).Output()
	if err != nil {
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			return nil, fmt.Errorf("%s: %s", program, bytes.TrimSpace(exit.Stderr))
		}
		return nil, fmt.Errorf("%s: %w", program, err)
	}
	return strings.Split(strings.TrimSpace(string(text)), "\n"), nil
}

// printDifferences prints the first maxPrinted decisions that differ, and how many differ in all. Once a build has
// decided otherwise than recorded, it still gets the captured calls, which follow from the recorded decisions.
func printDifferences(out cli.Output, ours, theirs []string, maxPrinted int) {
	differ := 0
	for i := range max(len(ours), len(theirs)) {
		our, their := lineAt(ours, i), lineAt(theirs, i)
		if our == their {
			continue
		}
		differ++
		if differ <= maxPrinted {
			out.Printf("this:  %s\nother: %s\n", our, their)
		}
	}
	out.Printf("%d decisions, %d differ; after the first, the captured events may not fit a build's own decisions\n",
		len(ours), differ)
}

// lineAt returns the line at index i, or "" after the last one.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return ""
}
