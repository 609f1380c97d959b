// Package nginx reads configuration files of nginx by their published syntax, and writes what their upstream, server and location blocks
// mean as an operator file. Each directive gets a verdict: carried, carried with a stated difference, or refused with what to do about it;
// one that is not known is refused. It runs nothing, opens no files but those it is given or that an include names below a root, and
// decides no routing: what it writes is read by internal/operator like any other file.
package nginx

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Bounds of what is read.
const (
	bytesMost    = 64 << 20  // of all files
	nodesMost    = 2_000_000 // directives
	depthMost    = 64        // of blocks within blocks
	includesMost = 16        // files within files
)

// Place is where a directive stands.
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

func (n *Node) fault(format string, args ...any) error {
	return fmt.Errorf("%s: %s: %s", n.Place, n.Name, fmt.Sprintf(format, args...))
}

// Reader reads files.
type Reader struct {
	Root  string // includes lead nowhere outside of it
	Open  func(name string) ([]byte, error)
	Glob  func(pattern string) ([]string, error)
	bytes int
	nodes int
	stack []string
}

// NewReader reads files of the disk below a folder; what is not absolute is relative to it.
func NewReader(root string) *Reader {
	return &Reader{Root: root, Open: os.ReadFile, Glob: filepath.Glob}
}

// File reads one file with all that it includes.
func (r *Reader) File(name string) ([]*Node, error) {
	if slices.Contains(r.stack, name) {
		return nil, fmt.Errorf("%s: it includes itself, by way of %s", name, strings.Join(r.stack, ", "))
	}
	if len(r.stack) >= includesMost {
		return nil, fmt.Errorf("%s: files are included %d deep: no deeper", name, includesMost)
	}
	text, err := r.Open(name)
	if err != nil {
		return nil, err
	}
	if r.bytes += len(text); r.bytes > bytesMost {
		return nil, fmt.Errorf("%s: more than %d bytes in all", name, bytesMost)
	}
	r.stack = append(r.stack, name)
	defer func() { r.stack = r.stack[:len(r.stack)-1] }()
	p := &parser{lexer: lexer{text: text, place: Place{name, 1, 1}}, r: r}
	list, err := p.block(0)
	if err != nil {
		return nil, err
	}
	return r.include(list)
}

// Parse reads a text without includes.
func Parse(name string, text []byte) ([]*Node, error) {
	p := &parser{lexer: lexer{text: text, place: Place{name, 1, 1}}, r: &Reader{}}
	return p.block(0)
}

// include puts what files have in the place of directives that name them.
func (r *Reader) include(list []*Node) ([]*Node, error) {
	var out []*Node
	for _, n := range list {
		if n.Name != "include" || n.Opens {
			var err error
			if n.Block, err = r.include(n.Block); err != nil {
				return nil, err
			}
			out = append(out, n)
			continue
		}
		if len(n.Args) != 1 {
			return nil, n.fault("it takes one file or pattern")
		}
		pattern := n.Args[0]
		if !filepath.IsAbs(pattern) {
			pattern = filepath.Join(r.Root, pattern)
		}
		if rel, err := filepath.Rel(r.Root, pattern); err != nil || rel == ".." || strings.HasPrefix(rel, ".."+string(filepath.Separator)) {
			return nil, n.fault("%s lies outside of %s", n.Args[0], r.Root)
		}
		names := []string{pattern}
		if strings.ContainsAny(pattern, "*?[") {
			var err error
			if names, err = r.Glob(pattern); err != nil {
				return nil, n.fault("%s: %v", pattern, err)
			}
			slices.Sort(names) // nothing that fits is nothing included, as in nginx
		}
		for _, name := range names {
			more, err := r.File(name)
			if err != nil {
				if errors.Is(err, os.ErrNotExist) {
					return nil, n.fault("%v", err)
				}
				return nil, err
			}
			out = append(out, more...)
		}
	}
	return out, nil
}

type parser struct {
	lexer
	r *Reader
}

// block reads directives up to the end of a block, or of the file.
func (p *parser) block(depth int) ([]*Node, error) {
	if depth > depthMost {
		return nil, fmt.Errorf("%s: blocks are %d deep: no deeper", p.place, depthMost)
	}
	var list []*Node
	for {
		t, err := p.next()
		if err != nil {
			return nil, err
		}
		switch t.kind {
		case end:
			if depth > 0 {
				return nil, fmt.Errorf("%s: it ends within a block: } is missing", t.place)
			}
			return list, nil
		case closes:
			if depth == 0 {
				return nil, fmt.Errorf("%s: } without a block", t.place)
			}
			return list, nil
		case opens, stops:
			return nil, fmt.Errorf("%s: %q without a directive", t.place, t.kind)
		}
		if p.r.nodes++; p.r.nodes > nodesMost {
			return nil, fmt.Errorf("%s: more than %d directives", t.place, nodesMost)
		}
		n := &Node{Place: t.place, Name: t.text}
		for done := false; !done; {
			if t, err = p.next(); err != nil {
				return nil, err
			}
			switch t.kind {
			case word:
				n.Args = append(n.Args, t.text)
			case stops:
				done = true
			case opens:
				if strings.HasSuffix(n.Name, "_by_lua_block") {
					return nil, n.fault("blocks of another language are not read")
				}
				n.Opens, done = true, true
				if n.Block, err = p.block(depth + 1); err != nil {
					return nil, err
				}
			default:
				return nil, fmt.Errorf("%s: %s: it does not end: ; or { is missing", n.Place, n.Name)
			}
		}
		list = append(list, n)
	}
}

type kind uint8

const (
	word kind = iota
	stops
	opens
	closes
	end
)

func (k kind) String() string { return [...]string{"word", ";", "{", "}", "end of file"}[k] }

type token struct {
	kind  kind
	text  string
	place Place
}

// lexer splits a text into tokens. A quote begins a string only where a word begins, # a comment likewise; { behind $ belongs to a variable.
type lexer struct {
	text  []byte
	at    int
	place Place
	tight bool // behind a string: a word must not follow at once
}

func (l *lexer) step() byte {
	c := l.text[l.at]
	l.at++
	if c == '\n' {
		l.place.Line++
		l.place.Column = 1
	} else {
		l.place.Column++
	}
	return c
}

func space(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

func (l *lexer) next() (token, error) {
	for l.at < len(l.text) {
		switch c := l.text[l.at]; {
		case space(c):
			l.step()
			l.tight = false
			continue
		case c == '#' && !l.tight:
			for l.at < len(l.text) && l.text[l.at] != '\n' {
				l.step()
			}
			continue
		}
		break
	}
	t := token{place: l.place}
	if l.at == len(l.text) {
		t.kind = end
		return t, nil
	}
	switch c := l.text[l.at]; c {
	case ';', '{', '}':
		l.step()
		l.tight = false
		switch c {
		case ';':
			t.kind = stops
		case '{':
			t.kind = opens
		default:
			t.kind = closes
		}
		return t, nil
	case '"', '\'':
		if l.tight {
			return t, fmt.Errorf("%s: a space is missing behind a string", t.place)
		}
		l.step()
		var out []byte
		for l.at < len(l.text) {
			x := l.step()
			switch {
			case x == c:
				l.tight = true
				t.text = string(out)
				return t, nil
			case x == '\\' && l.at < len(l.text):
				out = escaped(out, l.step())
			default:
				out = append(out, x)
			}
		}
		return t, fmt.Errorf("%s: a string that does not end", t.place)
	}
	if l.tight {
		return t, fmt.Errorf("%s: a space is missing behind a string", t.place)
	}
	var out []byte
	from, dollar := l.at, false // from: what is not in out yet
	for l.at < len(l.text) {
		c := l.text[l.at]
		if space(c) || c == ';' || c == '{' && !dollar {
			break
		}
		l.step()
		dollar = c == '$'
		if c == '\\' && l.at < len(l.text) {
			out = escaped(append(out, l.text[from:l.at-1]...), l.step())
			from = l.at
		}
	}
	if out == nil {
		t.text = string(l.text[from:l.at])
	} else {
		t.text = string(append(out, l.text[from:l.at]...))
	}
	return t, nil
}

// escaped is what a backslash and a character stand for.
func escaped(out []byte, c byte) []byte {
	switch c {
	case '"', '\'', '\\':
		return append(out, c)
	case 't':
		return append(out, '\t')
	case 'r':
		return append(out, '\r')
	case 'n':
		return append(out, '\n')
	}
	return append(out, '\\', c)
}

// Print writes directives so that reading gives them back.
func Print(list []*Node) string {
	var b strings.Builder
	show(&b, list, "")
	return b.String()
}

func show(b *strings.Builder, list []*Node, indent string) {
	for _, n := range list {
		b.WriteString(indent + quoted(n.Name))
		for _, a := range n.Args {
			b.WriteString(" " + quoted(a))
		}
		if !n.Opens {
			b.WriteString(";\n")
			continue
		}
		b.WriteString(" {\n")
		show(b, n.Block, indent+"    ")
		b.WriteString(indent + "}\n")
	}
}

// quoted is a word as it is read back.
func quoted(w string) string {
	plain := w != ""
	for i := 0; i < len(w) && plain; i++ {
		c := w[i]
		plain = c > ' ' && c < 0x7f && !strings.ContainsRune("\"'\\;{}#", rune(c))
	}
	if plain {
		return w
	}
	var b strings.Builder
	b.WriteByte('"')
	for i := 0; i < len(w); i++ {
		switch c := w[i]; c {
		case '"', '\\':
			b.WriteByte('\\')
			b.WriteByte(c)
		case '\n':
			b.WriteString(`\n`)
		case '\r':
			b.WriteString(`\r`)
		case '\t':
			b.WriteString(`\t`)
		default:
			b.WriteByte(c)
		}
	}
	b.WriteByte('"')
	return b.String()
}
