// Package lifecycle holds the admin state of a proxy and the lifecycle state of each of its processes. From the two it
// derives whether the proxy accepts new clients, which requests it admits, when client connections are closed, and
// which servers are disabled.
//
// During a hot restart, a proxy has two processes, or more if restarts follow one another closely. Each keeps an
// AdminState, which has a last-writer-wins register per switch; merging them makes the processes agree.
//
// The package does not read the clock: times are passed in, in seconds since 1970, and must come from the clock that
// all processes of a machine share. No type is safe for concurrent use.
package lifecycle
