package ctlcmd

import (
	"fmt"
	"io"
	"os"
	"strings"

	"lockloom/internal/capture"
	"lockloom/internal/cli"
)

// openFile opens a capture for package capture.
func openFile(name string) (io.ReadCloser, error) { return os.Open(name) }

// captureFiles returns the captures that a command's arguments name: files, or folders of them.
func captureFiles(args []string) (files []string, err error) {
	if len(args) == 0 {
		return nil, cli.UsageErrorf("it takes a capture: a file, or a folder of them")
	}
	for _, arg := range args {
		list, err := capture.Files(arg)
		if err != nil {
			return nil, err
		}
		files = append(files, list...)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: no captures", strings.Join(args, " "))
	}
	return files, nil
}

// newPlayer returns a player that prints its warnings.
func newPlayer(errOut cli.Output) *capture.Player {
	return &capture.Player{Warn: func(text string) { errOut.Println(text) }}
}
