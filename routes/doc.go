// Package routes finds the route of a request by its host, path, method, header fields and query. The route determines
// the pool to which the request is forwarded. The HTTP listener calls the package for each request; it never selects a
// server.
//
// A Table is compiled once and then only read, so it is safe for concurrent use. The package does no I/O and does not
// read the clock.
//
// The route is selected as follows:
//
//  1. The host is matched first: its exact name, else the longest "*.name", else the longest "name.*", else the
//     default. Routes of other hosts are not considered.
//  2. A route whose conditions on method, fields or query do not match is skipped in all further steps.
//  3. A route with the exact path is selected. Otherwise the longest matching prefix is determined; if it is Final, its
//     route is selected.
//  4. Otherwise regular expressions are tried in order: first those nested in the longest prefix, then those of the
//     host. The first that matches is selected.
//  5. Otherwise the route of the longest prefix is selected.
//
// Routes that are equal by these rules are tried in the order in which they are configured.
package routes
