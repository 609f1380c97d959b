package ctlcmd

import (
	"flag"
	"io"
	"os"

	"lockloom/internal/cli"
	"lockloom/internal/report"
)

// showProgress returns a function that prints the progress of a run to errOut, or nil if errOut is not a terminal.
func showProgress(errOut cli.Output, name string) func(second, total int) {
	file, ok := errOut.Writer.(*os.File)
	if !ok {
		return nil
	}
	if info, err := file.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(second, total int) {
		end := "\r"
		if second >= total {
			end = "\r\033[K"
		}
		errOut.Printf("%s: %d of %d s%s", name, second, total, end)
	}
}

// resultFiles are the names of the files that a command writes its results to; "": no file.
type resultFiles struct{ json, html, timeline string }

// addFlags adds the flags -json and -html.
func (f *resultFiles) addFlags(flags *flag.FlagSet) {
	flags.StringVar(&f.json, "json", "", "write the results to this `FILE` as JSON")
	flags.StringVar(&f.html, "html", "", "write a page with plots to this `FILE`")
}

// addTimelineFlag adds the flag -timeline, for the timeline of the page's first run.
func (f *resultFiles) addTimelineFlag(flags *flag.FlagSet) {
	flags.StringVar(&f.timeline, "timeline", "", "write the events and a line for each second to this `FILE`")
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

// writeFile writes the file of that name. It writes nothing if name is empty.
func writeFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	return report.WriteFile(name, write)
}
