// Command lockloom is one proxy of the bank.
package main

import (
	"os"

	"lockloom/internal/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
