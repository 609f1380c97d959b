// Command lockloom-controlplane is lockloom with captures and with an xDS control plane for third-party proxies and
// clients.
package main

import (
	"os"

	"lockloom/internal/cli/controlplanecmd"
)

func main() { os.Exit(controlplanecmd.Run(os.Args[1:], os.Stdout, os.Stderr)) }
