package ctlcmd

import (
	"flag"
	"io"
	"os"

	"lockloom/internal/cli"
	"lockloom/internal/report"
)

// showProgress returns a function that shows how far a run is, nil if errOut is no terminal.
func showProgress(errOut cli.Output, name string) func(second, of int) {
	file, ok := errOut.Writer.(*os.File)
	if !ok {
		return nil
	}
	if info, err := file.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(second, of int) {
		end := "\r"
		if second >= of {
			end = "\r\033[K"
		}
		errOut.Printf("%s: %d of %d s%s", name, second, of, end)
	}
}

// resultFiles are the files that a command writes its results to; "": none.
type resultFiles struct{ json, html, timeline string }

// addFlags adds the flags that name the files.
func (f *resultFiles) addFlags(flags *flag.FlagSet) {
	flags.StringVar(&f.json, "json", "", "write the results to this `FILE` for machines")
	flags.StringVar(&f.html, "html", "", "write a page with plots to this `FILE`")
}

// addTimelineFlag adds the flag that names the file for the timeline of the page's first run.
func (f *resultFiles) addTimelineFlag(flags *flag.FlagSet) {
	flags.StringVar(&f.timeline, "timeline", "", "write events and a line a second to this `FILE`")
}

// write writes the files that were named.
func (f *resultFiles) write(results any, page report.Page) error {
	if err := writeFile(f.json, func(w io.Writer) error { return report.JSON(w, results) }); err != nil {
		return err
	}
	if err := writeFile(f.html, func(w io.Writer) error { return report.HTML(w, page) }); err != nil {
		return err
	}
	return writeFile(f.timeline, func(w io.Writer) error { return page.Runs[0].Write(w) })
}

// writeFile writes a file, none if it has no name.
func writeFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	return report.WriteFile(name, write)
}
