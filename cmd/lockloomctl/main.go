// Command lockloomctl holds the tools for lockloom: simulations, experiments, load generation, emulated
// servers, captures.
package main

import (
	"os"

	"lockloom/internal/cli/ctlcmd"
)

func main() { os.Exit(ctlcmd.Run(os.Args[1:], os.Stdout, os.Stderr)) }
