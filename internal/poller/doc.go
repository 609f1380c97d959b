// Package poller waits for bytes on many idle connections at once, and wakes a few of them at a time.
//
// Connections that wait in the runtime's own poller are all made ready together, before the work that the program has
// begun is finished; an overloaded program then reads more and more and finishes less and less. Here they wait in an
// epoll set of their own, and a goroutine takes some from it whenever all other goroutines have had their turn.
package poller
