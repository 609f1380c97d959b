// Package admin implements the admin endpoint, an HTTP endpoint for operators only: Server parses requests into calls
// and sends their responses, and Send is the client. What a call does is up to the Do function of the Server.
package admin
