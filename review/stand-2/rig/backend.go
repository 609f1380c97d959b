package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Got is a request that a backend has received whole.
type Got struct {
	ID      string
	FirstAt time.Time // when its first byte was read
	At      time.Time // when its last byte was read
}

// Backend is a backend of one process.
type Backend struct {
	Entry
	Work   time.Duration // of a request
	record *Record
	ln     net.Listener
	hang   atomic.Bool

	mu     sync.Mutex
	got    []Got
	onBody func(id string, body []byte)
}

// SetOnBody sets a function that is called with each body that was received whole.
func (b *Backend) SetOnBody(call func(id string, body []byte)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onBody = call
}

// NewBackend starts a backend on a free port.
func NewBackend(record *Record, id, zone, kind string, cell int, work time.Duration) *Backend {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fatal("backend: %v", err)
	}
	b := &Backend{record: record, ln: ln, Work: work}
	b.Entry = Entry{
		ID: id, Addr: ln.Addr().String(), Zone: zone, Kind: kind, Cell: cell, State: "active", Weight: 1,
	}
	go b.accept()
	return b
}

// Hang makes the backend hang: the process stands still from now on, while its machine still accepts connections.
func (b *Backend) Hang() {
	b.hang.Store(true)
	b.record.Line("backend %s hangs", b.ID)
}

// Got returns what the backend has received so far.
func (b *Backend) Got() []Got {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Got{}, b.got...)
}

func (b *Backend) accept() {
	for {
		conn, err := b.ln.Accept()
		if err != nil {
			return
		}
		b.standStill()
		go b.serve(conn)
	}
}

// standStill does not return while the backend hangs.
func (b *Backend) standStill() {
	for b.hang.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

// pausing reads from a connection, but not while the backend hangs.
type pausing struct {
	backend *Backend
	conn    net.Conn
	firstAt time.Time // when the first byte of the current request was read
}

func (p *pausing) Read(buffer []byte) (int, error) {
	p.backend.standStill()
	n, err := p.conn.Read(buffer)
	if p.firstAt.IsZero() {
		p.firstAt = time.Now()
	}
	return n, err
}

// serve answers the requests of one connection.
func (b *Backend) serve(conn net.Conn) {
	defer conn.Close()
	source := &pausing{backend: b, conn: conn}
	reader := bufio.NewReaderSize(source, 16<<10)
	for {
		source.firstAt = time.Time{}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Trace-Id")
		if id == "" {
			fmt.Fprint(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		got := Got{ID: id, FirstAt: source.firstAt, At: time.Now()}
		b.mu.Lock()
		b.got = append(b.got, got)
		onBody := b.onBody
		b.mu.Unlock()
		b.record.LineAt(got.At, "backend %s runs %s (%d bytes)", b.ID, id, len(body))
		if onBody != nil {
			onBody(id, body)
		}
		time.Sleep(b.Work)
		b.standStill()
		answer := "made for " + id
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
		if err != nil {
			return
		}
	}
}
