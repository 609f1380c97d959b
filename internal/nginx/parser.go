package nginx

import (
	"fmt"
	"strings"
)

// Bounds of what is parsed.
const (
	maxDirectives = 2_000_000 // of all files
	maxBlockDepth = 64        // blocks within blocks
)

// Parse reads a text. It leaves includes as they are. The name is that of the text's file in places and errors.
func Parse(name string, text []byte) ([]*Node, error) {
	return newParser(name, text, new(int)).block(0)
}

// parser reads the directives of a text.
type parser struct {
	lexer
	directives *int // read so far, of all files
}

func newParser(name string, text []byte, directives *int) *parser {
	return &parser{lexer: lexer{text: text, place: Place{File: name, Line: 1, Column: 1}}, directives: directives}
}

// block reads directives up to the end of a block, or at depth 0 of the text.
func (p *parser) block(depth int) ([]*Node, error) {
	if depth > maxBlockDepth {
		return nil, fmt.Errorf("%s: blocks are %d deep: no deeper", p.place, maxBlockDepth)
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

// blockEnd is the error of a token that stands for a directive's name, unless it ends the block.
func blockEnd(t token, depth int) error {
	switch {
	case t.kind == endToken && depth > 0:
		return fmt.Errorf("%s: it ends within a block: } is missing", t.place)
	case t.kind == closeToken && depth == 0:
		return fmt.Errorf("%s: } without a block", t.place)
	case t.kind == openToken || t.kind == semicolonToken:
		return fmt.Errorf("%s: %q without a directive", t.place, t.kind)
	}
	return nil
}

// directive reads what follows a directive's name.
func (p *parser) directive(name token, depth int) (*Node, error) {
	if *p.directives++; *p.directives > maxDirectives {
		return nil, fmt.Errorf("%s: more than %d directives", name.place, maxDirectives)
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
			if err := p.openBlock(n, depth); err != nil {
				return nil, err
			}
			return n, nil
		default:
			return nil, n.errorf("it does not end: ; or { is missing")
		}
	}
}

// openBlock reads the block of a directive.
func (p *parser) openBlock(n *Node, depth int) (err error) {
	if strings.HasSuffix(n.Name, "_by_lua_block") {
		return n.errorf("blocks of another language are not read")
	}
	n.Opens = true
	n.Block, err = p.block(depth + 1)
	return err
}
