// Package settings reads the platform's description of a deployment, maps its published keys to the decisions' types,
// and gives the names in it the numbers and hashes by which the decisions know them. The simulator's wire and the proxy
// share it, so that both read the same.
package settings
