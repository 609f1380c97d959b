// Package capture records the calls that a proxy makes on its Balancers, and replays them. A balance.Balancer reads no
// clock, does no I/O and has a seeded random source, so the same calls return the same actions.
//
// A proxy that is captured makes its calls through this package's Balancer, which a Recorder returns. Recording affects
// no decision and does not wait for the disk. A Player replays the files and compares the actions with those recorded.
// A RequestHistory, a Timeline or a Matcher observes a replay, and Shorten reduces a capture to an Excerpt for a test.
// The file format is described in docs/formats/capture.md.
package capture
