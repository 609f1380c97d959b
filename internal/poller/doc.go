// Package poller waits for bytes on many idle connections at once, and wakes a few of them at a time.
//
// The runtime's network poller makes all goroutines whose connections have bytes runnable at once, before the work in
// progress is finished: an overloaded program then reads more and more requests and finishes fewer and fewer. In this
// package, idle connections wait in a separate epoll set, and one goroutine takes a limited number of them from it each
// time that all other goroutines have had their turn.
package poller
