package ctlcmd

import (
	"fmt"
	"io"
	"os"
	"strings"

	"lockloom/internal/capture"
	"lockloom/internal/cli"
)

// openFile is a capture.OpenFunc that opens a file.
func openFile(name string) (io.ReadCloser, error) { return os.Open(name) }

// captureFiles returns the files of the captures that a command's arguments name. An argument is a file or a folder of
// capture files.
func captureFiles(args []string) (files []string, err error) {
	if len(args) == 0 {
		return nil, cli.UsageErrorf("expected at least one capture: a file, or a folder of capture files")
	}
	for _, arg := range args {
		list, err := capture.Files(arg)
		if err != nil {
			return nil, err
		}
		files = append(files, list...)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: no capture files", strings.Join(args, " "))
	}
	return files, nil
}

// newPlayer returns a player that prints its warnings to errOut.
func newPlayer(errOut cli.Output) *capture.Player {
	return &capture.Player{Warn: func(text string) { errOut.Println(text) }}
}
