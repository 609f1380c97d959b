// Package limits decides what a proxy admits: rates and concurrency by key, budgets of retries, the fair sharing of a
// pool's capacity between routes, and the queue of a proxy whose own core is overloaded.
//
// It does no I/O and keeps no clock: every call takes the present time in seconds, which must not run backwards. Its
// caller is the proxy's owner goroutine; no type here is safe for concurrent use.
package limits
