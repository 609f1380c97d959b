// Package gossip carries what proxies of one fleet tell one another of servers: the codec, which the simulator uses too, and the UDP
// transport. It decides nothing; what cannot be read is an error and changes nothing.
//
// A message is one byte of version, two of the sender's requests a second in sixteenths, and seven for each observation: four of the
// server's name hash, one of the class (255: a load report), one of the age in units of 20 ms, one of the value: a payoff in
// hundredths, or the load in whole requests. All numbers have their highest byte first.
//
// A datagram is two bytes of the sender's number, highest first, and one message. One from an address that is not that number's, and
// one that cannot be read, is counted and dropped.
package gossip
