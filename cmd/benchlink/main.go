// Command benchlink connects the simulator to package balance: it runs one balancer for each simulated proxy and speaks
// the simulator's wire protocol on standard input and output.
package main

import (
	"fmt"
	"os"

	"lockloom/internal/simwire"
)

func main() {
	if err := simwire.Read(os.Stdin, newHost(os.Stdout)); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
