package routes

import "strings"

const schemeEnd = "://"

// ParseTarget splits a request target into the host, the path in its normal form, and the query. The host is empty for
// a target in origin form; in absolute form it replaces the Host field. If the field names another host, the caller
// must reject the request, since programs differ in which of the two they use. The error is a *PathError.
func ParseTarget(target string) (host, path, query string, err error) {
	rest := target
	if end := strings.Index(target, schemeEnd); end > 0 && target[0] != '/' {
		if host, rest, err = parseAbsolute(target, end); err != nil {
			return "", "", "", err
		}
	}
	path, query, _ = strings.Cut(rest, "?")
	if strings.ContainsRune(query, '#') {
		return "", "", "", &PathError{rest, "a fragment"}
	}
	path, err = NormalizePath(path)
	return host, path, query, err
}

// parseAbsolute splits a target in absolute form into the host and the target in origin form. The scheme is the first
// schemeLength bytes of the target.
func parseAbsolute(target string, schemeLength int) (host, origin string, err error) {
	scheme := strings.ToLower(target[:schemeLength])
	if scheme != "http" && scheme != "https" {
		return "", "", &PathError{target, "a scheme that is not served"}
	}
	rest := target[schemeLength+len(schemeEnd):]
	end := strings.IndexAny(rest, "/?#")
	if end < 0 {
		end = len(rest)
	}
	host, origin = rest[:end], rest[end:]
	if host == "" || strings.Contains(host, "@") {
		return "", "", &PathError{target, "no plain authority"}
	}
	if origin == "" || origin[0] == '?' {
		origin = "/" + origin
	}
	return host, origin, nil
}

// NormalizeHost returns the normal form of a host: in lower case, without the port and the trailing dot.
func NormalizeHost(host string) string {
	if strings.HasPrefix(host, "[") { // an IPv6 address
		if end := strings.IndexByte(host, ']'); end > 0 {
			return strings.ToLower(host[:end+1])
		}
		return strings.ToLower(host)
	}
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
