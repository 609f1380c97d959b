// Package hotrestart hands over the listening sockets and the state of a proxy's process to the process that replaces
// it. The serving process, the predecessor, offers both on a Unix socket; the new process, the successor, takes them
// over before it listens. The two then keep the connection: each reports changes of the admin state, and the ids of
// requests that must not run again, to the other, and the successor reports when it accepts clients. The package
// only transfers this data; its callers act on it.
//
// Protocol: the successor sends the greeting, one line, and its Identity. The predecessor checks them, sends the same
// greeting with the listening sockets attached to the first byte (SCM_RIGHTS), and then its State. From then on, either
// side sends Updates. Identity, State and Update are sent as frames: a length of four bytes (big endian) and that many
// bytes of JSON.
package hotrestart
