// Package config reads the operator file: listeners, classes, pools, routes, limits and retry rules of an installation,
// as opposed to what the platform gives a proxy at its start. Every error is reported at once, with its place in the
// file. The package decides nothing: packages routes and limits do.
package config
