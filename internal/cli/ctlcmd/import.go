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

// errRefused is returned by an import that refused directives, which the report lists.
var errRefused = errors.New("some directives were refused")

// importCommand returns the sub-command that converts another program's configuration.
func importCommand(out, errOut cli.Output) *ffcli.Command {
	flags := cli.NewFlagSet("import")
	prefix := flags.String("prefix", "",
		"the `folder` that includes are relative to; no file outside of it is read (default: the folder of FILE)")
	outFile := flags.String("out", "", "write the operator file to this `FILE` (default: to standard output)")
	reportFile := flags.String("report", "",
		"write the verdict on each directive to this `FILE` (default: to standard error)")
	asJSON := flags.Bool("json", false, "write the report as JSON")
	partial := flags.Bool("partial", false,
		"write the operator file even if directives were refused, which it then has as comments")
	help := "convert another program's configuration to an operator file"
	return cli.NewCommand("import", "import nginx FILE [FLAGS]", help, flags,
		func(_ context.Context, args []string) error {
			if len(args) != 2 || args[0] != "nginx" {
				return cli.UsageErrorf("expected the word nginx and one file")
			}
			converted, err := convertNginx(args[1], *prefix, *partial)
			if err != nil {
				return err
			}
			err = writeFileOr(*reportFile, errOut, func(w io.Writer) error {
				if *asJSON {
					return report.JSON(w, converted.Verdicts)
				}
				return printVerdicts(w, converted)
			})
			if err != nil {
				return err
			}
			if err := writeOperatorFile(*outFile, out, converted.Text); err != nil {
				return err
			}
			if converted.Refused > 0 {
				return errRefused
			}
			return nil
		})
}

// convertNginx converts an nginx configuration to an operator file and checks that serve would accept it: directives
// that are valid by themselves can make an invalid operator file together.
func convertNginx(file, prefix string, partial bool) (*nginx.Conversion, error) {
	if prefix == "" {
		prefix = filepath.Dir(file)
	}
	directives, err := nginx.NewReader(prefix).File(file)
	if err != nil {
		return nil, err
	}
	converted := nginx.Convert(directives, partial)
	if converted.Text == "" {
		return converted, nil
	}
	if _, errs := config.Parse(file, []byte(converted.Text)); len(errs) > 0 {
		return nil, fmt.Errorf("the converted configuration is not a valid operator file: %w", errors.Join(errs...))
	}
	return converted, nil
}

// writeOperatorFile writes a converted configuration. It writes nothing if text is empty.
func writeOperatorFile(name string, out cli.Output, text string) error {
	if text == "" {
		return nil
	}
	return writeFileOr(name, out, func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		return err
	})
}

// writeFileOr writes to the file of that name or, if name is empty, to out.
func writeFileOr(name string, out cli.Output, write func(io.Writer) error) error {
	if name == "" {
		return write(out)
	}
	return report.WriteFile(name, write)
}

// printVerdicts prints the verdicts on directives that were not carried over as they were, and how often each verdict
// was given.
func printVerdicts(w io.Writer, converted *nginx.Conversion) error {
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	table := cli.Output{Writer: columns}
	counts := map[string]int{}
	for _, v := range converted.Verdicts {
		counts[v.Grade]++
		if v.Grade != nginx.Carried.String() {
			table.Printf("%s\t%s\t%s\t%s\n", v.At, v.Grade, v.Name, v.Text)
		}
	}
	if err := columns.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d directives: %d carried, %d with a difference, %d refused\n",
		len(converted.Verdicts), counts["carried"], counts["differs"], counts["refused"])
	return err
}
