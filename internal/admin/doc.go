// Package admin implements the admin endpoint, an HTTP endpoint for operators only. Its requests are named calls:
// Server parses them and sends the responses, and Send is the client. What a call does is up to the Do function of the
// Server.
package admin
