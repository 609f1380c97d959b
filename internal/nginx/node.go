package nginx

import (
	"fmt"
	"strings"
)

// Place is the position of a directive. Lines and columns count from 1; columns are in bytes.
type Place struct {
	File         string
	Line, Column int
}

func (p Place) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Node is a directive and, if it has one, its block.
type Node struct {
	Place
	Name     string
	Args     []string
	Block    []*Node
	HasBlock bool // the directive has a block, which may be empty
}

// errorf returns an error that starts with the directive's place and name.
func (n *Node) errorf(format string, args ...any) error {
	return fmt.Errorf("%s: %s: %s", n.Place, n.Name, fmt.Sprintf(format, args...))
}

// Print formats directives as configuration text. Parse returns the same directives for it, except for their places.
func Print(list []*Node) string {
	var b strings.Builder
	printBlock(&b, list, "")
	return b.String()
}

func printBlock(b *strings.Builder, list []*Node, indent string) {
	for _, n := range list {
		b.WriteString(indent + quoteWord(n.Name))
		for _, arg := range n.Args {
			b.WriteString(" " + quoteWord(arg))
		}
		if !n.HasBlock {
			b.WriteString(";\n")
			continue
		}
		b.WriteString(" {\n")
		printBlock(b, n.Block, indent+"    ")
		b.WriteString(indent + "}\n")
	}
}

var wordEscapes = strings.NewReplacer(`"`, `\"`, `\`, `\\`, "\n", `\n`, "\r", `\r`, "\t", `\t`)

// quoteWord returns a word in a form that the lexer reads back, quoted only if necessary.
func quoteWord(word string) string {
	if isPlainWord(word) {
		return word
	}
	return `"` + wordEscapes.Replace(word) + `"`
}

func isPlainWord(word string) bool {
	for i := range len(word) {
		c := word[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"'\;{}#`, c) >= 0 {
			return false
		}
	}
	return word != ""
}
