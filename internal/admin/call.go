package admin

import (
	"net/url"
	"strings"

	"lockloom/internal/http1"
)

// Those of net/http would bring that package into the platform's program, which does without it.
const (
	methodGet = "GET"
	methodPut = "PUT"

	statusBadRequest       = 400
	statusNotFound         = 404
	statusMethodNotAllowed = 405
)

// Action is what a call asks for.
type Action uint8

// The actions of admin calls.
const (
	Ready   Action = iota // whether the process takes clients
	Disable               // send a server nothing more
	Enable                // send to it again
	Drain                 // send the proxy's clients elsewhere
	Resume                // end a drain
)

var actionNames = [...]string{"ready", "disable", "enable", "drain", "resume"}

// String returns the action's name in paths, logs and on the command line.
func (a Action) String() string { return actionNames[a] }

// namesServer reports whether a call of this action is about one server.
func (a Action) namesServer() bool { return a == Disable || a == Enable }

// The published paths of calls: one about the proxy is pathPrefix and the action, one about a server has the server's
// escaped id between serverPrefix and the action.
const (
	pathPrefix   = "/-/"
	serverPrefix = "/-/backends/"
)

// Call is one admin call.
type Call struct {
	Action Action
	ID     string // of a server, for Disable and Enable
}

// Method returns the HTTP method of the call.
func (c Call) Method() string {
	if c.Action == Ready {
		return methodGet
	}
	return methodPut
}

// Path returns the HTTP path of the call.
func (c Call) Path() string {
	if c.Action.namesServer() {
		return serverPrefix + url.PathEscape(c.ID) + "/" + c.Action.String()
	}
	return pathPrefix + c.Action.String()
}

// readCall returns the call that a request's head makes, or an *http1.Error with the status to answer.
func readCall(head *http1.Head) (Call, error) {
	call, err := parsePath(string(head.Target))
	if err != nil {
		return Call{}, err
	}
	if string(head.Method) != call.Method() {
		return Call{}, &http1.Error{
			Status: statusMethodNotAllowed,
			Text:   "this call is made with " + call.Method(),
		}
	}
	if head.Length > 0 || head.Chunked {
		return Call{}, &http1.Error{Status: statusBadRequest, Text: "a call has no body"}
	}
	return call, nil
}

func parsePath(path string) (Call, error) {
	for _, action := range []Action{Ready, Drain, Resume} {
		if path == pathPrefix+action.String() {
			return Call{Action: action}, nil
		}
	}
	rest, aboutServer := strings.CutPrefix(path, serverPrefix)
	escapedID, name, _ := strings.Cut(rest, "/")
	action := Disable
	if name == Enable.String() {
		action = Enable
	}
	if !aboutServer || name != action.String() {
		return Call{}, &http1.Error{Status: statusNotFound, Text: "no such call"}
	}
	id, err := url.PathUnescape(escapedID)
	if err != nil || id == "" {
		return Call{}, &http1.Error{Status: statusBadRequest, Text: "malformed id of a backend"}
	}
	return Call{Action: action, ID: id}, nil
}
