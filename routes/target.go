package routes

import "strings"

const schemeEnd = "://"

// ParseTarget splits a request's target into host, path in its normal form, and query. In origin form the host is
// empty; in absolute form it stands for the Host field. A target that names another host than the field does is one
// request to one reader and another to the next, so the caller must reject it. The error is a *PathError.
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

// parseAbsolute splits a target in absolute form, whose scheme has a length, into host and origin form.
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

// NormalizeHost returns the one form of a host: lower case, without port and without the root's dot.
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
