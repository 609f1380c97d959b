// Package gossip exchanges observations of servers among the proxies of one fleet. It contains the message codec, which
// the protocol of the simulator uses too, and the UDP transport. It does not evaluate messages; one that cannot be
// decoded is an error and has no other effect.
//
// A message consists of one byte for the version, two for the sender's request rate in sixteenths of a request per
// second, and seven for each observation: four for the hash of the server's name, one for the class (255: a load
// report), one for the age in units of 20 ms, and one for the value, which is a payoff in hundredths or the load in
// requests, rounded. All numbers are big endian.
//
// A datagram consists of two bytes for the sender's number in the fleet, big endian, and one message. A datagram that
// cannot be decoded, or whose source address is not that of its sender's number, is counted and dropped.
package gossip
