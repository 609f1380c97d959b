package routes

import (
	"fmt"
	"strings"
)

// PathError is a path that cannot be taken: two programs could read it in two ways.
type PathError struct{ Path, Why string }

func (e *PathError) Error() string { return fmt.Sprintf("path %.80q: %s", e.Path, e.Why) }

// NormalizePath is the one form of a path, by which routes match and in which it goes on. What is an unreserved character
// (RFC 3986, 2.3) stands as itself, every other escape with upper-case digits, and a byte above 0x7e as its escape.
// An escaped slash stays escaped: it is no slash. Several slashes are one. Dot segments are resolved. A path that climbs above
// its root, has a raw control character, backslash, space, '#' or '?', a malformed escape or one of a null, or a dot
// segment with parameters ("..;x") or behind an escaped slash is refused. Normal(Normal(p)) is Normal(p). It returns p itself, without
// allocation, where p is in this form already.
func NormalizePath(p string) (string, error) {
	if p == "" || p[0] != '/' {
		return "", &PathError{p, "it does not begin with a slash"}
	}
	if plain(p) {
		return p, nil
	}
	text, err := escapes(p)
	if err != nil {
		return "", err
	}
	out := make([]byte, 0, len(text)+1)
	var starts []int // of segments in out, each behind its slash
	for rest := text[1:]; ; {
		segment, more, slash := strings.Cut(rest, "/")
		bare, _, parameters := strings.Cut(segment, ";")
		if hidden(segment) {
			return "", &PathError{p, "a dot segment behind an escaped slash or backslash"}
		}
		switch {
		case parameters && (bare == "." || bare == ".."): // danger: some servers drop the parameters and climb
			return "", &PathError{p, "a dot segment with parameters"}
		case segment == "..":
			if len(starts) == 0 {
				return "", &PathError{p, "it climbs above its root"}
			}
			out, starts = out[:starts[len(starts)-1]], starts[:len(starts)-1]
		case segment != "" && segment != ".":
			starts = append(starts, len(out))
			out = append(append(out, '/'), segment...)
		}
		if !slash {
			if segment == "" || segment == "." || segment == ".." { // it ended in a slash, or as if
				out = append(out, '/')
			}
			return string(out), nil
		}
		rest = more
	}
}

// hidden tells whether a segment has a dot segment between escaped slashes or backslashes. Danger: a server that takes those
// for slashes climbs by it.
func hidden(segment string) bool {
	if !strings.Contains(segment, "%2F") && !strings.Contains(segment, "%5C") {
		return false
	}
	for part := range strings.SplitSeq(strings.ReplaceAll(segment, "%5C", "%2F"), "%2F") {
		if bare, _, _ := strings.Cut(part, ";"); bare == "." || bare == ".." {
			return true
		}
	}
	return false
}

// plain tells whether a path is in the normal form already.
func plain(p string) bool {
	for i := 0; i < len(p); i++ {
		c := p[i]
		switch {
		case c == '/':
			if i+1 < len(p) && (p[i+1] == '/' || p[i+1] == '.') {
				return false // perhaps a dot segment: looked at more closely
			}
		case c == '%' || c <= ' ' || c >= 0x7f || c == '\\' || c == '#' || c == '?':
			return false
		}
	}
	return true
}

// escapes brings each character to its one form.
func escapes(p string) (string, error) {
	const hex = "0123456789ABCDEF"
	out := make([]byte, 0, len(p)+8)
	for i := 0; i < len(p); i++ {
		switch c := p[i]; {
		case c < ' ' || c == 0x7f:
			return "", &PathError{p, "a control character"}
		case c == ' ' || c == '\\' || c == '#' || c == '?':
			return "", &PathError{p, fmt.Sprintf("a raw %q", c)}
		case c > 0x7f:
			out = append(out, '%', hex[c>>4], hex[c&15])
		case c != '%':
			out = append(out, c)
		default:
			if i+2 >= len(p) || digit(p[i+1]) < 0 || digit(p[i+2]) < 0 {
				return "", &PathError{p, "a malformed escape"}
			}
			c = byte(digit(p[i+1])<<4 | digit(p[i+2]))
			i += 2
			switch {
			case c == 0:
				return "", &PathError{p, "an escaped null"}
			case unreserved(c):
				out = append(out, c)
			default:
				out = append(out, '%', hex[c>>4], hex[c&15])
			}
		}
	}
	return string(out), nil
}

func digit(c byte) int {
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

func unreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '.' || c == '_' || c == '~'
}

// ParseTarget takes a request's target apart: origin form, or absolute form, whose authority then stands for Host. Danger: a
// target that names another host than Host is one request for two readers, so the caller must refuse what differs.
func ParseTarget(target string) (host, path, query string, err error) {
	if i := strings.Index(target, "://"); i > 0 && !strings.HasPrefix(target, "/") {
		scheme := strings.ToLower(target[:i])
		if scheme != "http" && scheme != "https" {
			return "", "", "", &PathError{target, "a scheme that is not served"}
		}
		rest := target[i+3:]
		end := strings.IndexAny(rest, "/?#")
		if end < 0 {
			end = len(rest)
		}
		if host = rest[:end]; host == "" || strings.Contains(host, "@") {
			return "", "", "", &PathError{target, "no plain authority"}
		}
		if target = rest[end:]; target == "" || target[0] == '?' {
			target = "/" + target
		}
	}
	path, query, _ = strings.Cut(target, "?")
	if strings.ContainsRune(query, '#') {
		return "", "", "", &PathError{target, "a fragment"}
	}
	path, err = NormalizePath(path)
	return host, path, query, err
}

// NormalizeHost is the one form of a host's name: lower case, without port and without the root's dot.
func NormalizeHost(host string) string {
	if strings.HasPrefix(host, "[") { // an address of IPv6
		if end := strings.IndexByte(host, ']'); end > 0 {
			return strings.ToLower(host[:end+1])
		}
		return strings.ToLower(host)
	}
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
