// Package routes decides which route a request matches, and so which pool it goes to, by host, path, method, fields and
// query. A Table is compiled once and then only read, so it is safe for concurrent use; it does no I/O and keeps no
// clock. The HTTP listener calls it for each request; it never chooses a server.
//
// The order of choice:
//
//  1. The host decides first: its exact name, else the longest "*.name", else the longest "name.*", else the default.
//     Routes of other hosts are not considered.
//  2. A route whose method, fields or query do not match is skipped, wherever it stands.
//  3. An exact path wins. Else the longest prefix is found; if it is Final, it wins.
//  4. Else regular expressions are tried in their order: those nested in the longest prefix first, then the host's own.
//     The first that matches wins.
//  5. Else the longest prefix wins. Routes alike in all this are tried in the order in which they are written.
package routes
