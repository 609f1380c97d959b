// Package gossip carries what the proxies of one fleet report to one another about servers: the message codec, which
// the simulator's wire uses too, and the UDP transport. It decides nothing; a message that cannot be read is an error
// and changes nothing.
//
// A message is one byte of version, two of the sender's requests a second in sixteenths, and seven for each
// observation: four of the server's name hash, one of the class (255: a load report), one of the age in units of 20 ms,
// one of the value: a payoff in hundredths, or the load in requests, rounded. All numbers are big endian.
//
// A datagram is two bytes of the sender's number in the fleet, big endian, and one message. One that comes from another
// address than that number's, or that cannot be read, is counted and dropped.
package gossip
