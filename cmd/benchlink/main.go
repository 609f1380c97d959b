// Command benchlink lets the simulator run the decisions: it hosts one balancer for each simulated proxy and speaks the
// simulator's wire on standard input and output.
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
