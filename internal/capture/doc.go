// Package capture records the calls that a proxy makes on its Balancers, and replays them. Decisions have no clock, no
// I/O and a seeded random source, so the same calls return the same actions.
//
// A proxy that is captured makes its calls through this package's Balancer, which a Recorder returns. Recording decides
// nothing and does not wait for the disk. A Player replays the files and compares the actions; with a RequestHistory,
// a Timeline or a Matcher it answers questions about them, and Shorten cuts a capture down to an Excerpt for a test.
// The form of the files is in docs/formats/capture.md.
package capture
