// Package nginx converts configuration files of nginx to operator files. It parses them by their published syntax
// (Reader, Parse) and translates their upstream, server and location blocks (Convert). Each directive gets a verdict:
// carried, carried with a stated difference, or refused with what to do about it. An unknown directive is refused.
//
// The package runs no program, and opens only the files that it is given and those that an include names below a root
// folder. It does not route requests: internal/config reads the result like any other operator file.
package nginx
