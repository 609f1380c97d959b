// Command lockloomctl holds the tools round lockloom: rehearsals, experiments, load and stand-ins.
package main

import (
	"os"

	"lockloom/internal/cli/ctlcmd"
)

func main() { os.Exit(ctlcmd.Run(os.Args[1:], os.Stdout, os.Stderr)) }
