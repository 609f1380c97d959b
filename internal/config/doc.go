// Package config parses and checks the operator file: the listeners, classes, pools, routes, limits and retry rules of
// an installation, as opposed to the launch file, which the platform provides. Errors are reported together, each with
// its position in the file. Requests are matched and limited by packages routes and limits.
package config
