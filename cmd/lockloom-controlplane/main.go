// Command lockloom-controlplane is lockloom with captures and with a control plane over xDS, for proxies and clients of
// other makes.
package main

import (
	"os"

	"lockloom/internal/cli/controlplanecmd"
)

func main() { os.Exit(controlplanecmd.Run(os.Args[1:], os.Stdout, os.Stderr)) }
