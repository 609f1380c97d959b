package nginx

import (
	"fmt"
	"strings"
)

// Place is where a directive stands. Lines and columns count from 1, columns in bytes.
type Place struct {
	File         string
	Line, Column int
}

func (p Place) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Node is a directive, with its block if it has one.
type Node struct {
	Place
	Name  string
	Args  []string
	Block []*Node
	Opens bool // it has a block, which may be empty
}

// errorf is an error with the directive's place and name.
func (n *Node) errorf(format string, args ...any) error {
	return fmt.Errorf("%s: %s: %s", n.Place, n.Name, fmt.Sprintf(format, args...))
}

// Print writes directives so that Parse gives them back, but for their places.
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
		if !n.Opens {
			b.WriteString(";\n")
			continue
		}
		b.WriteString(" {\n")
		printBlock(b, n.Block, indent+"    ")
		b.WriteString(indent + "}\n")
	}
}

var wordEscapes = strings.NewReplacer(`"`, `\"`, `\`, `\\`, "\n", `\n`, "\r", `\r`, "\t", `\t`)

// quoteWord is a word in the form that the lexer reads back, with quotes only where it needs them.
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
