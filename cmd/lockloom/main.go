// Command lockloom runs one proxy of a fleet, checks its configuration and calls its admin endpoint.
package main

import (
	"os"

	"lockloom/internal/cli/proxycmd"
)

func main() { os.Exit(proxycmd.Run(os.Args[1:], os.Stdout, os.Stderr)) }
