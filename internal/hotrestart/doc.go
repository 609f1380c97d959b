// Package hotrestart carries what passes between two processes of one proxy. The one that serves offers, on a Unix
// socket, its listening sockets and what it knows; its successor takes both over before it listens. After that each
// reports to the other, over the same connection, changes of the admin state and whether the successor serves. The
// package decides nothing.
//
// The form on the socket: the greeting, one line both ways, with the listening sockets (SCM_RIGHTS) beside its first
// byte on the way to the successor; then frames, each a length of four bytes (big endian) and so many bytes of JSON.
package hotrestart
