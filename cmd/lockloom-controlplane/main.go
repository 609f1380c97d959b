// Command lockloom-controlplane is the proxy with every front: what lockloom does, and a control service over xDS for proxies and clients that lockloom
// does not run.
package main

import (
	"os"

	"lockloom/internal/cli/controlplanecmd"
)

func main() { os.Exit(controlplanecmd.Run(os.Args[1:], os.Stdout, os.Stderr)) }
