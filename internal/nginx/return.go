package nginx

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// HTTP statuses that return and rewrite directives distinguish.
const (
	statusMoved         = 301
	statusFound         = 302
	statusNginxNoAnswer = 444 // nginx closes the connection
	minResponseStatus   = 200
	minErrorStatus      = 400
	maxResponseStatus   = 599
)

var redirectStatuses = []int{statusMoved, statusFound, 303, 307, 308}

// requestURI is nginx's variable for the request's path and query.
const requestURI = "$request_uri"

// returns makes an answer or a redirect of a return directive. It reports whether it could.
func (c *serverConverter) returns(d *Node, effective settings, r *route) bool {
	if len(d.Args) == 0 || len(d.Args) > 2 {
		c.refuse(d, "it takes a status, and a text or an address")
		return false
	}
	status, text := statusFound, d.Args[0]
	if code, err := strconv.Atoi(d.Args[0]); err == nil {
		status, text = code, strings.Join(d.Args[1:], "")
	} else if len(d.Args) == 2 {
		c.refuse(d, "no status: %s", d.Args[0])
		return false
	}
	if slices.Contains(redirectStatuses, status) {
		return c.redirects(d, r, status, text)
	}
	return c.responds(d, r, response{status: status, contentType: effective.contentType, body: text})
}

// responds makes a fixed answer. One without a body has no type.
func (c *serverConverter) responds(d *Node, r *route, answer response) bool {
	if answer.status < minResponseStatus || answer.status > maxResponseStatus || answer.status == statusNginxNoAnswer {
		c.refuse(d, "%d cannot be answered: 200 to 599", answer.status)
		return false
	}
	if strings.Contains(answer.body, "$") {
		c.refuse(d, "no variables in a fixed answer")
		return false
	}
	if answer.body == "" {
		answer.contentType = ""
	}
	r.action.response = &answer
	if answer.body == "" && answer.status >= minErrorStatus {
		c.add(d, Differs, "without nginx's page")
		return true
	}
	c.add(d, Carried, "")
	return true
}

// redirects makes a redirect.
func (c *serverConverter) redirects(d *Node, r *route, status int, text string) bool {
	target, keepURI := strings.CutSuffix(text, requestURI)
	target = c.knownVariables(target)
	if r.match.path.kind == regexPath && !keepURI {
		target = braceCaptures(target)
	}
	r.action.redirect = redirect{status: status, target: target, keepURI: keepURI}
	switch {
	case target == "":
		c.refuse(d, "it names no address")
		return false
	case hasVariable(target):
		c.refuse(d, "a variable in %s whose value is not known here: $host is, where a server has one name "+
			"and is no default", text)
		return false
	case keepURI && strings.Count(target, "/") > 2:
		c.refuse(d, "%s: a path before $request_uri", text)
		return false
	case strings.HasPrefix(target, "/"):
		c.add(d, Differs, "the address goes out as it is written, without scheme and host")
	default:
		c.add(d, Carried, "")
	}
	return true
}

// knownVariables replaces the variables of an address that have one value in the server.
func (c *serverConverter) knownVariables(address string) string {
	address = strings.Replace(address, "$scheme://", "http://", 1)
	name := c.server.primaryName
	if name == "" {
		return address
	}
	address = strings.ReplaceAll(address, "$server_name", name)
	if len(c.server.names) == 1 && !c.server.isDefault {
		address = strings.ReplaceAll(address, "$host", name)
	}
	return address
}

var nginxCapture = regexp.MustCompile(`\$([1-9])`)

// braceCaptures writes the captures of a regular expression as lockloom does: ${1} for $1.
func braceCaptures(text string) string { return nginxCapture.ReplaceAllString(text, "$${$1}") }

// hasVariable reports whether a text has variables other than captures in braces.
func hasVariable(text string) bool { return strings.Contains(strings.ReplaceAll(text, "${", ""), "$") }
