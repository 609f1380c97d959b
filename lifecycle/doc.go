// Package lifecycle holds the admin state of one proxy and how far each of its processes has come, and answers what
// follows from both: whether the proxy wants clients, what it admits, when its clients' connections close and which
// servers are disabled.
//
// During a hot restart two processes, or more where starts follow one another closely, are one proxy. Each keeps an
// AdminState, a last-writer-wins register per switch; merging them settles what holds.
//
// The package keeps no clock: times are passed in, in seconds since 1970, and must come from the clock that all
// processes of a machine share. No type here is safe for concurrent use.
package lifecycle
