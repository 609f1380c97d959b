// Package admin is the admin endpoint, an address for operators alone: HTTP requests to calls and answers back, as a
// server and as a client. What a call does is decided by the server's owner.
package admin
