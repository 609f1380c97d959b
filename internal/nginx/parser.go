package nginx

import (
	"fmt"
	"strings"
)

// Limits of the parser.
const (
	maxDirectives = 2_000_000 // in all files together
	maxBlockDepth = 64        // of nested blocks
)

// Parse parses the text of a configuration file. It does not expand include directives. The name is used as the file
// name in places and errors.
func Parse(name string, text []byte) ([]*Node, error) {
	return newParser(name, text, new(int)).block(0)
}

// parser parses the directives of a text.
type parser struct {
	lexer
	directives *int // number parsed so far, in all files together
}

func newParser(name string, text []byte, directives *int) *parser {
	return &parser{lexer: lexer{text: text, place: Place{File: name, Line: 1, Column: 1}}, directives: directives}
}

// block parses directives up to the end of the block or, at depth 0, of the text.
func (p *parser) block(depth int) ([]*Node, error) {
	if depth > maxBlockDepth {
		return nil, fmt.Errorf("%s: blocks are nested more than %d deep", p.place, maxBlockDepth)
	}
	var list []*Node
	for {
		t, err := p.next()
		if err != nil {
			return nil, err
		}
		if t.kind != wordToken {
			if err := blockEnd(t, depth); err != nil {
				return nil, err
			}
			return list, nil
		}
		n, err := p.directive(t, depth)
		if err != nil {
			return nil, err
		}
		list = append(list, n)
	}
}

// blockEnd returns nil if a token that is not a word ends the block, and otherwise an error.
func blockEnd(t token, depth int) error {
	switch {
	case t.kind == endToken && depth > 0:
		return fmt.Errorf("%s: unexpected end of file: missing } of a block", t.place)
	case t.kind == closeToken && depth == 0:
		return fmt.Errorf("%s: unexpected }: no block is open", t.place)
	case t.kind == openToken || t.kind == semicolonToken:
		return fmt.Errorf("%s: unexpected %q: expected the name of a directive", t.place, t.kind)
	}
	return nil
}

// directive parses the arguments and the block that follow a directive's name.
func (p *parser) directive(name token, depth int) (*Node, error) {
	if *p.directives++; *p.directives > maxDirectives {
		return nil, fmt.Errorf("%s: the configuration has more than %d directives", name.place, maxDirectives)
	}
	n := &Node{Place: name.place, Name: name.text}
	for {
		t, err := p.next()
		if err != nil {
			return nil, err
		}
		switch t.kind {
		case wordToken:
			n.Args = append(n.Args, t.text)
		case semicolonToken:
			return n, nil
		case openToken:
			if err := p.directiveBlock(n, depth); err != nil {
				return nil, err
			}
			return n, nil
		default:
			return nil, n.errorf("missing ; or { at the end of the directive")
		}
	}
}

// directiveBlock parses the block of n, after its opening brace.
func (p *parser) directiveBlock(n *Node, depth int) (err error) {
	if strings.HasSuffix(n.Name, "_by_lua_block") {
		return n.errorf("Lua blocks are not supported")
	}
	n.HasBlock = true
	n.Block, err = p.block(depth + 1)
	return err
}
