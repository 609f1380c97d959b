package cli

import (
	"fmt"
	"io"
)

// Output is where a command prints to. That printing fails is no error of the command: whoever was to read it has gone.
type Output struct{ io.Writer }

// Printf formats like fmt.Printf.
func (o Output) Printf(format string, args ...any) { _, _ = fmt.Fprintf(o, format, args...) }

// Println formats like fmt.Println.
func (o Output) Println(args ...any) { _, _ = fmt.Fprintln(o, args...) }
