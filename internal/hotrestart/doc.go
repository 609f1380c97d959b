// Package hotrestart hands over from one process of a proxy to the next. The serving process offers its listening
// sockets and its state on a Unix socket; its successor takes over both before it listens. The two then keep the
// connection: each reports changes of the admin state to the other, and the successor reports that it serves. The
// package only transfers this data; its callers act on it.
//
// Protocol: each side sends the greeting, one line, and the predecessor attaches the listening sockets (SCM_RIGHTS) to
// the first byte of its greeting. Frames follow, each a length of four bytes (big endian) and that many bytes of JSON.
package hotrestart
