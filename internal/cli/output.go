package cli

import (
	"fmt"
	"io"
)

// Output is what a command prints to. Write errors are ignored: they mean that the reader is gone, which is no failure
// of the command.
type Output struct{ io.Writer }

// Printf formats like fmt.Printf.
func (o Output) Printf(format string, args ...any) { _, _ = fmt.Fprintf(o, format, args...) }

// Println formats like fmt.Println.
func (o Output) Println(args ...any) { _, _ = fmt.Fprintln(o, args...) }
