package nginx

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// HTTP statuses that are special to return and rewrite directives.
const (
	statusMoved           = 301
	statusFound           = 302
	statusNginxNoResponse = 444 // nginx closes the connection without a response
	minResponseStatus     = 200
	minErrorStatus        = 400
	maxResponseStatus     = 599
)

var redirectStatuses = []int{statusMoved, statusFound, 303, 307, 308}

// requestURI is nginx's variable for the path and the query of the request.
const requestURI = "$request_uri"

// convertReturn sets the action of a route to the redirect or the fixed response of a return directive. It reports
// whether the directive could be converted.
func (c *serverConverter) convertReturn(d *Node, effective settings, r *route) bool {
	if len(d.Args) == 0 || len(d.Args) > 2 {
		c.refuse(d, "expected a status, a URL, or a status with a text or a URL")
		return false
	}
	status, text := statusFound, d.Args[0]
	if code, err := strconv.Atoi(d.Args[0]); err == nil {
		status, text = code, strings.Join(d.Args[1:], "")
	} else if len(d.Args) == 2 {
		c.refuse(d, "%s is not a status code", d.Args[0])
		return false
	}
	if slices.Contains(redirectStatuses, status) {
		return c.setRedirect(d, r, status, text)
	}
	return c.setResponse(d, r, response{status: status, contentType: effective.contentType, body: text})
}

// setResponse sets the action of a route to a fixed response. A response without a body has no content type.
func (c *serverConverter) setResponse(d *Node, r *route, answer response) bool {
	if answer.status < minResponseStatus || answer.status > maxResponseStatus || answer.status == statusNginxNoResponse {
		c.refuse(d, "status %d is not supported: expected 200 to 599, except 444", answer.status)
		return false
	}
	if strings.Contains(answer.body, "$") {
		c.refuse(d, "variables in a fixed response are not supported")
		return false
	}
	if answer.body == "" {
		answer.contentType = ""
	}
	r.action.response = &answer
	if answer.body == "" && answer.status >= minErrorStatus {
		c.add(d, Differs, "the response has no body, whereas nginx sends its error page")
		return true
	}
	c.add(d, Carried, "")
	return true
}

// setRedirect sets the action of a route to a redirect.
func (c *serverConverter) setRedirect(d *Node, r *route, status int, text string) bool {
	target, keepURI := strings.CutSuffix(text, requestURI)
	target = c.knownVariables(target)
	if r.match.path.kind == regexPath && !keepURI {
		target = braceCaptures(target)
	}
	r.action.redirect = redirect{status: status, target: target, keepURI: keepURI}
	switch {
	case target == "":
		c.refuse(d, "missing URL of the redirect")
		return false
	case hasVariable(target):
		c.refuse(d, "%s has a variable whose value is not known: that of $host is known only in a server "+
			"with one name that is not the default", text)
		return false
	case keepURI && strings.Count(target, "/") > 2:
		c.refuse(d, "%s: a path before $request_uri is not supported", text)
		return false
	case strings.HasPrefix(target, "/"):
		c.add(d, Differs, "the Location field is sent without scheme and host, whereas nginx adds them")
	default:
		c.add(d, Carried, "")
	}
	return true
}

// knownVariables replaces the variables in a URL that have the same value for all requests of the server.
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

// braceCaptures converts references to captures of a regular expression to the form of the operator file: $1 to ${1}.
func braceCaptures(text string) string { return nginxCapture.ReplaceAllString(text, "$${$1}") }

// hasVariable reports whether a text has a variable that is not in braces. Captures are put in braces before.
func hasVariable(text string) bool { return strings.Contains(strings.ReplaceAll(text, "${", ""), "$") }
