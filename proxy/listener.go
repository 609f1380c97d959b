package proxy

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"lockloom/internal/http1"
	"lockloom/internal/poller"
	"lockloom/internal/recvtime"
)

// acceptBatch is how many connections a listener accepts before all goroutines that are runnable have run.
const acceptBatch = 16

// acceptRetryDelay is the delay after a temporary accept error. Without it the loop would spin while the process is out
// of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// acceptConnections accepts client connections and serves each in a goroutine of its own, until the listener is closed.
// With httpListener, requests are routed by the operator file; else they have the platform's fields and classes. It
// returns nil if the proxy is shutting down.
func (p *Proxy) acceptConnections(ln net.Listener, httpListener bool) error {
	pacer := poller.NewPacer(acceptBatch)
	defer pacer.Close()
	for {
		p.conns.waitForCapacity(p.shutdown.acceptEnding.Load, p.overloaded)
		conn, err := ln.Accept()
		if err == nil {
			p.startConn(conn, httpListener)
			if !p.shutdown.acceptEnding.Load() {
				pacer.Step()
			}
			continue
		}
		var temporary net.Error
		switch {
		case p.shuttingDown() && errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded): // accepting is paused: a successor accepts instead
			time.Sleep(acceptPollInterval)
		case errors.As(err, &temporary) && !errors.Is(err, net.ErrClosed):
			p.log.WithError(err).Error("accept")
			time.Sleep(acceptRetryDelay)
		default:
			return err
		}
	}
}

// startConn adds a client connection to the table and starts its goroutine.
func (p *Proxy) startConn(conn net.Conn, httpListener bool) {
	c := &clientConn{
		proxy:           p,
		httpListener:    httpListener,
		conn:            conn,
		share:           newConnShare(&p.turns),
		acceptedAt:      time.Now(),
		admissionResult: make(chan bool, 1),
	}
	c.connReader = newConnReader(conn, c.share)
	c.memory.conn = c
	c.ReserveHead = c.reserveHead
	c.wake = make(chan struct{}, 1)
	c.idleWait = p.conns.idleConns.Add(conn, func(peerClosed bool) {
		c.peerClosed.Store(peerClosed)
		c.wakeUp()
	})
	c.overflow = p.conns.add(c)
	p.conns.group.Add(1)
	go c.serve()
}

// connReader reads HTTP/1.1 messages from a connection, in its share of this core, and records when this machine
// received their bytes.
type connReader struct {
	*http1.Reader
	source  *recvtime.Reader
	metered meteredSource
}

// connReaders holds the readers of closed connections for reuse.
var connReaders = sync.Pool{New: func() any {
	return &connReader{Reader: http1.NewReader(nil), source: recvtime.NewReader(nil)}
}}

func newConnReader(conn net.Conn, share *connShare) *connReader {
	r := connReaders.Get().(*connReader)
	r.source.Reset(conn)
	r.metered = meteredSource{source: r.source, share: share}
	r.Reset(&r.metered)
	r.AllowLargeBodies = true
	return r
}

// recycle returns the reader to connReaders. No goroutine may read from it any more.
func (r *connReader) recycle() {
	r.source.Reset(nil)
	r.metered = meteredSource{}
	r.Reset(nil) // drops the references to the connection and to its last head
	connReaders.Put(r)
}
