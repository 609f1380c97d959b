// Package limits decides which requests and retries a proxy admits. It has rate and concurrency limits by key, retry
// budgets, a limiter that shares a pool's capacity between routes, a queue for requests while the CPU core of the proxy
// itself is overloaded, and turns by which client connections share that core.
//
// It does no I/O and does not read the clock: calls that depend on time take the current time in seconds, which must
// never decrease. No type is safe for concurrent use: the proxy calls them from its owner goroutine, or under a lock.
package limits
