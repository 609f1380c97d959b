// Command benchlink lets the bench play the decisions: it hosts one balancer an instance and speaks the
// bench's wire on standard input and output.
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
