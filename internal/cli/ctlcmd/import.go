package ctlcmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lockloom/internal/cli"
	"lockloom/internal/config"
	"lockloom/internal/nginx"
	"lockloom/internal/report"
)

// errNotCarried ends an import that left something out; the report has said what.
var errNotCarried = errors.New("not all was carried")

func importing(out, errs io.Writer) *ffcli.Command {
	set := flags("import")
	prefix := set.String("prefix", "", "the `folder` that includes are relative to, and outside of which none is read (default: the file's)")
	to := set.String("out", "", "write the operator file to this `FILE` (default: to standard output)")
	told := set.String("report", "", "write the verdict on each directive to this `FILE` (default: to standard error)")
	asJSON := set.Bool("json", false, "the report in JSON")
	partial := set.Bool("partial", false, "write the file though directives were refused, which stand in it as comments")
	return cli.New("import", "import nginx FILE [FLAGS]", "make an operator file of another program's configuration", set,
		func(_ context.Context, words []string) error {
			if len(words) != 2 || words[0] != "nginx" {
				return cli.Wrong("it takes the word nginx, and a file")
			}
			if *prefix == "" {
				*prefix = filepath.Dir(words[1])
			}
			list, err := nginx.NewReader(*prefix).File(words[1])
			if err != nil {
				return err
			}
			im := nginx.Convert(list, *partial)
			if im.Text != "" {
				if _, faults := config.Read(words[1], []byte(im.Text)); len(faults) > 0 { // what two directives come to together
					return fmt.Errorf("what it comes to is no operator file: %w", errors.Join(faults...))
				}
			}
			say := func(w io.Writer) error {
				if *asJSON {
					return report.JSON(w, im.Verdicts)
				}
				return verdicts(w, im)
			}
			if *told != "" {
				err = report.WriteFile(*told, say)
			} else {
				err = say(errs)
			}
			if err == nil && im.Text != "" {
				write := func(w io.Writer) error { _, err := io.WriteString(w, im.Text); return err }
				if *to != "" {
					err = report.WriteFile(*to, write)
				} else {
					err = write(out)
				}
			}
			if err == nil && im.Refused > 0 {
				err = errNotCarried
			}
			return err
		})
}

// verdicts tells those that want a look: what differs and what was refused, by how often each holds.
func verdicts(w io.Writer, im *nginx.Import) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	counts := map[string]int{}
	for _, v := range im.Verdicts {
		if counts[v.Grade]++; v.Grade != nginx.Carried.String() {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", v.At, v.Grade, v.Name, v.Text)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d directives: %d carried, %d with a difference, %d refused\n", len(im.Verdicts), counts["carried"], counts["differs"], counts["refused"])
	return err
}
