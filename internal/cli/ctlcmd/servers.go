package ctlcmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
)

func serving(out io.Writer) *ffcli.Command {
	set := flags("servers")
	dir := set.String("dir", "", "write the launch files to this `folder` (default: a new one)")
	seed := set.Uint64("seed", 1, "`number` that chance comes from")
	play := set.Bool("play", false, "play the scenario's troubles too, from the start on")
	return cli.New("servers", "servers SCENARIO [FLAGS]",
		"run a scenario's servers and list agents alone, write launch files, print what serve needs, until Ctrl-C", set,
		func(ctx context.Context, words []string) error {
			s, err := one(words)
			if err != nil {
				return err
			}
			folder := *dir
			if folder == "" {
				if folder, err = os.MkdirTemp("", "lockloomctl"); err != nil {
					return err
				}
				defer os.RemoveAll(folder)
			}
			st, err := s.StartServers(folder, *seed)
			if err != nil {
				return err
			}
			defer st.Close()
			for _, variables := range st.Variables {
				fmt.Fprintln(out, "export", strings.Join(variables, " "))
			}
			return st.Run(ctx, *play)
		})
}
