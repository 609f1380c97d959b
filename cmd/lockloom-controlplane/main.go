// Command lockloom-controlplane is lockloom with a control plane over xDS, for proxies and clients that lockloom does not
// run, and with captures.
package main

import (
	"os"

	"lockloom/internal/cli/controlplanecmd"
)

func main() { os.Exit(controlplanecmd.Run(os.Args[1:], os.Stdout, os.Stderr)) }
