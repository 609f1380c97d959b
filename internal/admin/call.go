package admin

import (
	"net/url"
	"strings"

	"lockloom/internal/http1"
)

// Not taken from net/http: importing that package would add it to the proxy's binary, which does not use it.
const (
	methodGet = "GET"
	methodPut = "PUT"

	statusBadRequest       = 400
	statusNotFound         = 404
	statusMethodNotAllowed = 405
	statusHeadTooLarge     = 431
)

// Action is the operation that a call requests.
type Action uint8

// The actions of admin calls.
const (
	Ready   Action = iota // return whether the process accepts clients
	Disable               // stop sending requests to a server
	Enable                // send requests to a disabled server again
	Drain                 // drain the proxy: its clients have to use other proxies
	Resume                // end a drain
)

var actionNames = [...]string{"ready", "disable", "enable", "drain", "resume"}

// String returns the action's name, as it stands in paths, in logs and on the command line.
func (a Action) String() string { return actionNames[a] }

// targetsServer reports whether a call of this action applies to a single server.
func (a Action) targetsServer() bool { return a == Disable || a == Enable }

// The paths of calls, which operators' tools use. The path of a call that applies to the proxy is pathPrefix and the
// action's name; for a single server it is serverPrefix, the server's escaped id, a slash and the action's name.
const (
	pathPrefix   = "/-/"
	serverPrefix = "/-/backends/"
)

// Call is a request to the admin endpoint, without its HTTP form: an action, and the server that the action applies to.
type Call struct {
	Action Action
	ID     string // id of the server, for Disable and Enable; otherwise empty
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
	if c.Action.targetsServer() {
		return serverPrefix + url.PathEscape(c.ID) + "/" + c.Action.String()
	}
	return pathPrefix + c.Action.String()
}

// readCall returns the call that a request's head contains, or an *http1.Error with the status to respond with.
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
	rest, isServerPath := strings.CutPrefix(path, serverPrefix)
	escapedID, name, _ := strings.Cut(rest, "/")
	action := Disable
	if name == Enable.String() {
		action = Enable
	}
	if !isServerPath || name != action.String() {
		return Call{}, &http1.Error{Status: statusNotFound, Text: "no such call"}
	}
	id, err := url.PathUnescape(escapedID)
	if err != nil || id == "" {
		return Call{}, &http1.Error{Status: statusBadRequest, Text: "malformed id of a backend"}
	}
	return Call{Action: action, ID: id}, nil
}
