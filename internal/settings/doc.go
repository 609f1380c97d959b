// Package settings reads the platform's description of a deployment: it maps the keys that the platform publishes to
// the types of package balance, and assigns to each name the index or hash that package balance uses for it. The
// simulator's wire protocol and the proxy share it, so that both read a description in the same way.
package settings
