package proxy

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"lockloom/internal/http1"
	"lockloom/internal/recvtime"
)

// acceptRetryDelay is waited after accepting has failed: without it, being out of descriptors would spin.
const acceptRetryDelay = 10 * time.Millisecond

// acceptConnections accepts client connections and serves each in a goroutine of its own, until the listener ends.
// Requests of an operator's listener are routed by the operator file, those of the platform's by their path.
func (p *Proxy) acceptConnections(ln net.Listener, operators bool) error {
	for {
		p.conns.waitForCapacity(p.shutdown.acceptEnding.Load, p.overloaded)
		conn, err := ln.Accept()
		if err == nil {
			p.startConn(conn, operators)
			continue
		}
		var temporary net.Error
		switch {
		case p.shuttingDown() && errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded): // a successor accepts now
			time.Sleep(acceptPollInterval)
		case errors.As(err, &temporary) && !errors.Is(err, net.ErrClosed):
			p.log.WithError(err).Error("accept")
			time.Sleep(acceptRetryDelay)
		default:
			return err
		}
	}
}

// startConn serves one client connection.
func (p *Proxy) startConn(conn net.Conn, operators bool) {
	c := &clientConn{
		proxy:      p,
		operators:  operators,
		conn:       conn,
		connReader: newConnReader(conn),
		acceptedAt: time.Now(),
		turn:       make(chan bool, 1),
	}
	c.wake = make(chan struct{}, 1)
	c.idleWait = p.conns.idleConns.Add(conn, func(peerClosed bool) {
		c.peerClosed.Store(peerClosed)
		c.wakeUp()
	})
	c.overflow = p.conns.add(c)
	p.conns.group.Add(1)
	go c.serve()
}

// connReader reads HTTP/1.1 messages from a connection and knows when their bytes came to this machine.
type connReader struct {
	*http1.Reader
	source *recvtime.Reader
}

// connReaders are those of connections that have ended, to be used again.
var connReaders = sync.Pool{New: func() any { return &connReader{http1.NewReader(nil), recvtime.NewReader(nil)} }}

func newConnReader(conn net.Conn) *connReader {
	r := connReaders.Get().(*connReader)
	r.source.Reset(conn)
	r.Reset(r.source)
	r.AnyBodySize = true
	return r
}

// recycle lets another connection use the reader. Nobody may read from it any more.
func (r *connReader) recycle() {
	r.source.Reset(nil)
	connReaders.Put(r)
}
