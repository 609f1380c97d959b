// Command lockloom is one proxy of the fleet.
package main

import (
	"os"

	"lockloom/internal/cli/proxycmd"
)

func main() { os.Exit(proxycmd.Run(os.Args[1:], os.Stdout, os.Stderr)) }
