package routes

import (
	"fmt"
	"strings"
)

// PathError is the error for a path or request target that is rejected because programs could interpret it differently.
type PathError struct{ Path, Reason string }

func (e *PathError) Error() string { return fmt.Sprintf("path %.80q: %s", e.Path, e.Reason) }

// NormalizePath returns the normal form of a path, which routes match and which is forwarded. In the normal form,
// unreserved characters (RFC 3986, section 2.3) are not escaped, other escapes have upper-case digits, and bytes above
// 0x7e are escaped. An escaped slash remains escaped and does not separate segments. Repeated slashes are merged, and
// dot segments are resolved.
//
// It returns a *PathError for a path that does not begin with a slash, whose dot segments lead above its root, that has
// a raw control character, backslash, space, '#' or '?', a malformed escape or an escaped NUL, or a dot segment that
// has parameters ("..;x") or is next to an escaped slash or backslash.
//
// A path that is already normal is returned unchanged, in most cases without an allocation.
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

// pathBuilder builds a normal path from the segments of a path, and resolves dot segments.
type pathBuilder struct {
	path   []byte
	starts []int // index in path of the slash before each segment
}

// add adds a segment. It returns the reason if the path must be rejected, else an empty string.
func (b *pathBuilder) add(segment string, last bool) (why string) {
	if hasHiddenDotSegment(segment) {
		return "a dot segment behind an escaped slash or backslash"
	}
	bare, _, parameters := strings.Cut(segment, ";")
	switch {
	case parameters && isDotSegment(bare): // rejected: some servers ignore the parameters and resolve the dot segment
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
	if last && (segment == "" || isDotSegment(segment)) { // a final dot segment stands for a directory
		b.path = append(b.path, '/')
	}
	return ""
}

func isDotSegment(segment string) bool { return segment == "." || segment == ".." }

// hasHiddenDotSegment reports whether a segment has a dot segment between escaped slashes or backslashes. A server that
// treats those as slashes would resolve it, and serve another path than the one that was matched.
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

// isPlain reports whether a path is in the normal form by a quick check. A false result does not mean that it is not: a
// path with a segment that begins with a dot, for example, needs the full check.
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

// normalizeEscapes escapes or unescapes each character as the normal form requires.
func normalizeEscapes(path string) (string, error) {
	const extraCapacity = 8 // bytes that suffice for the added escapes of most paths
	normal := make([]byte, 0, len(path)+extraCapacity)
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

// parseEscape decodes the escape at the beginning of text, which begins with '%'; ok is false if it is malformed.
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
