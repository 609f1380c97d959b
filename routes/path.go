package routes

import (
	"fmt"
	"strings"
)

// PathError says why a path or target is rejected: two programs could read it in two ways.
type PathError struct{ Path, Why string }

func (e *PathError) Error() string { return fmt.Sprintf("path %.80q: %s", e.Path, e.Why) }

// NormalizePath returns the one form of a path, by which routes match and in which it is forwarded. An unreserved
// character (RFC 3986, 2.3) stands as itself, every other escape has upper-case digits, and a byte above 0x7e is
// escaped. An escaped slash stays escaped: it is no slash. Several slashes are one. Dot segments are resolved.
//
// It returns a *PathError for a path that climbs above its root, has a raw control character, backslash, space, '#' or
// '?', a malformed escape or one of a null, or a dot segment with parameters ("..;x") or behind an escaped slash.
//
// A normal path is its own normal form; for one it returns the path itself and does not allocate.
func NormalizePath(path string) (string, error) {
	if path == "" || path[0] != '/' {
		return "", &PathError{path, "it does not begin with a slash"}
	}
	if isPlain(path) {
		return path, nil
	}
	escaped, err := normalizeEscapes(path)
	if err != nil {
		return "", err
	}
	normal := pathBuilder{path: make([]byte, 0, len(escaped)+1)}
	for rest, more := escaped[1:], true; more; {
		var segment string
		segment, rest, more = strings.Cut(rest, "/")
		if why := normal.add(segment, !more); why != "" {
			return "", &PathError{path, why}
		}
	}
	return string(normal.path), nil
}

// pathBuilder resolves the segments of a path.
type pathBuilder struct {
	path   []byte
	starts []int // of segments in path, each at its slash
}

// add adds a segment, and returns why it is rejected if it is.
func (b *pathBuilder) add(segment string, last bool) (why string) {
	if hasHiddenDotSegment(segment) {
		return "a dot segment behind an escaped slash or backslash"
	}
	bare, _, parameters := strings.Cut(segment, ";")
	switch {
	case parameters && isDotSegment(bare): // some servers drop the parameters and climb
		return "a dot segment with parameters"
	case segment == "..":
		if len(b.starts) == 0 {
			return "it climbs above its root"
		}
		parent := len(b.starts) - 1
		b.path, b.starts = b.path[:b.starts[parent]], b.starts[:parent]
	case segment != "" && segment != ".":
		b.starts = append(b.starts, len(b.path))
		b.path = append(b.path, '/')
		b.path = append(b.path, segment...)
	}
	if last && (segment == "" || isDotSegment(segment)) { // the path ends in a slash, or as if it did
		b.path = append(b.path, '/')
	}
	return ""
}

func isDotSegment(segment string) bool { return segment == "." || segment == ".." }

// hasHiddenDotSegment reports whether a segment has a dot segment between escaped slashes or backslashes: a server that
// takes those for slashes climbs by it.
func hasHiddenDotSegment(segment string) bool {
	if !strings.Contains(segment, "%2F") && !strings.Contains(segment, "%5C") {
		return false
	}
	for part := range strings.SplitSeq(strings.ReplaceAll(segment, "%5C", "%2F"), "%2F") {
		if bare, _, _ := strings.Cut(part, ";"); isDotSegment(bare) {
			return true
		}
	}
	return false
}

// isPlain reports whether a path is certainly in the normal form. One with a segment that begins with a dot, for
// example, is looked at more closely.
func isPlain(path string) bool {
	for i := range len(path) {
		c := path[i]
		switch {
		case c == '/':
			if i+1 < len(path) && (path[i+1] == '/' || path[i+1] == '.') {
				return false
			}
		case c == '%' || c <= ' ' || c >= 0x7f || c == '\\' || c == '#' || c == '?':
			return false
		}
	}
	return true
}

// normalizeEscapes brings each character to its one form.
func normalizeEscapes(path string) (string, error) {
	const fewEscapes = 8 // bytes by which escapes make most paths longer, at the most
	normal := make([]byte, 0, len(path)+fewEscapes)
	for i := 0; i < len(path); i++ {
		switch c := path[i]; {
		case c < ' ' || c == 0x7f:
			return "", &PathError{path, "a control character"}
		case c == ' ' || c == '\\' || c == '#' || c == '?':
			return "", &PathError{path, fmt.Sprintf("a raw %q", c)}
		case c > 0x7f:
			normal = appendEscape(normal, c)
		case c != '%':
			normal = append(normal, c)
		default:
			c, ok := parseEscape(path[i:])
			if !ok {
				return "", &PathError{path, "a malformed escape"}
			}
			if c == 0 {
				return "", &PathError{path, "an escaped null"}
			}
			if isUnreserved(c) {
				normal = append(normal, c)
			} else {
				normal = appendEscape(normal, c)
			}
			i += escapeBytes - 1
		}
	}
	return string(normal), nil
}

const escapeBytes = len("%00")

// parseEscape returns the character of the escape that a text begins with.
func parseEscape(text string) (c byte, ok bool) {
	if len(text) < escapeBytes {
		return 0, false
	}
	high, low := hexValue(text[1]), hexValue(text[2])
	if high < 0 || low < 0 {
		return 0, false
	}
	return byte(high<<4 | low), true
}

func appendEscape(path []byte, c byte) []byte {
	const digits = "0123456789ABCDEF"
	return append(path, '%', digits[c>>4], digits[c&15])
}

// hexValue returns the value of a hexadecimal digit, or -1.
func hexValue(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

func isUnreserved(c byte) bool {
	letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	return letter || c >= '0' && c <= '9' || c == '-' || c == '.' || c == '_' || c == '~'
}
