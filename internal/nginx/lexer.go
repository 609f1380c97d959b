package nginx

import "fmt"

// tokenKind is the kind of a token.
type tokenKind uint8

const (
	wordToken tokenKind = iota
	semicolonToken
	openToken
	closeToken
	endToken
)

func (k tokenKind) String() string { return [...]string{"word", ";", "{", "}", "end of file"}[k] }

// punctuation holds the tokens of one character.
var punctuation = map[byte]tokenKind{';': semicolonToken, '{': openToken, '}': closeToken}

// token is a word, a punctuation character or the end of the file.
type token struct {
	kind  tokenKind
	text  string // the word, without quotes and escapes; empty for other kinds
	place Place
}

// lexer splits a text into tokens. A quote or a # starts a quoted string or a comment only at the start of a word. A {
// directly after a $ is part of the word, as in ${name}.
type lexer struct {
	text        []byte
	offset      int
	place       Place
	afterString bool // the last token was a quoted string, which a word must not follow without a space
}

// next returns the next token, which is an endToken at the end of the text.
func (l *lexer) next() (token, error) {
	l.skipBlanks()
	t := token{place: l.place}
	if l.atEnd() {
		t.kind = endToken
		return t, nil
	}
	c := l.text[l.offset]
	if kind, ok := punctuation[c]; ok {
		l.advance()
		l.afterString = false
		t.kind = kind
		return t, nil
	}
	if l.afterString {
		return t, fmt.Errorf("%s: missing space after a quoted string", t.place)
	}
	if c == '"' || c == '\'' {
		return l.quoted(t)
	}
	t.text = l.word()
	return t, nil
}

func (l *lexer) atEnd() bool { return l.offset == len(l.text) }

// advance consumes and returns a byte, and updates the place.
func (l *lexer) advance() byte {
	c := l.text[l.offset]
	l.offset++
	if c == '\n' {
		l.place.Line++
		l.place.Column = 1
	} else {
		l.place.Column++
	}
	return c
}

// skipBlanks skips white space and comments.
func (l *lexer) skipBlanks() {
	for !l.atEnd() {
		switch c := l.text[l.offset]; {
		case isSpace(c):
			l.advance()
			l.afterString = false
		case c == '#' && !l.afterString:
			l.skipLine()
		default:
			return
		}
	}
}

func (l *lexer) skipLine() {
	for !l.atEnd() && l.text[l.offset] != '\n' {
		l.advance()
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// quoted reads a string in single or double quotes.
func (l *lexer) quoted(t token) (token, error) {
	quote := l.advance()
	var text []byte
	for !l.atEnd() {
		c := l.advance()
		switch {
		case c == quote:
			l.afterString = true
			t.text = string(text)
			return t, nil
		case c == '\\' && !l.atEnd():
			text = appendEscaped(text, l.advance())
		default:
			text = append(text, c)
		}
	}
	return t, fmt.Errorf("%s: unterminated quoted string", t.place)
}

// word reads an unquoted word. A word without escapes is copied only once.
func (l *lexer) word() string {
	var text []byte
	start := l.offset // offset of the first byte that is not yet copied to text
	afterDollar := false
	for !l.atEnd() {
		c := l.text[l.offset]
		if isSpace(c) || c == ';' || c == '{' && !afterDollar {
			break
		}
		l.advance()
		afterDollar = c == '$'
		if c == '\\' && !l.atEnd() {
			text = append(text, l.text[start:l.offset-1]...)
			text = appendEscaped(text, l.advance())
			start = l.offset
		}
	}
	if text == nil {
		return string(l.text[start:l.offset])
	}
	return string(append(text, l.text[start:l.offset]...))
}

// appendEscaped appends the character that a backslash and c stand for, or both if they are not a known escape.
func appendEscaped(text []byte, c byte) []byte {
	switch c {
	case '"', '\'', '\\':
		return append(text, c)
	case 't':
		return append(text, '\t')
	case 'r':
		return append(text, '\r')
	case 'n':
		return append(text, '\n')
	}
	return append(text, '\\', c)
}
