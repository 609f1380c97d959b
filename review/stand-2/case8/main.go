// Command case plays long request bodies while one backend of four hangs. See claim.txt.
package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"review/stand-2/rig"
)

const (
	backends  = 4
	hanging   = 2                      // of them
	wait      = 600 * time.Millisecond // of a client: half of the hard stop of send-sms
	slack     = 550 * time.Millisecond // an answer up to half a second late earns nothing; 50 ms on sockets
	playFor   = 14 * time.Second
	hangAfter = 3 * time.Second
	every     = 30 * time.Millisecond // between two requests; every second one is long
	watchFor  = 4 * time.Second       // from the last byte: later answers are not awaited
	piece     = 16 << 10              // of a write
	sizeFrom  = 96 << 10              // of the long bodies, above what sizesFor measures
	sizeStep  = 32 << 10
	sizeSteps = 8
)

// sizesFor returns the sizes of the long bodies, in bytes: a little over the number that the systems of two machines
// take in for a backend that hangs, so that the rest lies at the proxy's machine. The pages allow 32 MB.
func sizesFor(record *rig.Record) (sizes []int) {
	server := rig.NewBackend(record, "measure", "jhb-dc1", "type-a", 0, 0)
	server.Hang()
	conn, err := net.Dial("tcp", server.Addr)
	if err != nil {
		rig.Fatal("measure: %v", err)
	}
	defer conn.Close()
	held := 0
	for err == nil {
		conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		var n int
		n, err = conn.Write(make([]byte, piece))
		held += n
	}
	record.Say("a connection to a backend that hangs holds %d bytes", held)
	for i := range sizeSteps {
		sizes = append(sizes, held+sizeFrom+i*sizeStep)
	}
	return sizes
}

// tally counts how requests ended.
type tally struct {
	sync.Mutex
	served, refused, failed, lost, untaken int
	lostSizes                              map[int]int
}

func main() { rig.Main(play) }

func play(record *rig.Record) int {
	var list []rig.Entry
	var servers []*rig.Backend
	for i := range backends {
		server := rig.NewBackend(record, fmt.Sprintf("s-%d", i+1), "jhb-dc1", "type-a", 0, 15*time.Millisecond)
		servers, list = append(servers, server), append(list, server.Entry)
	}
	sizes := sizesFor(record)
	proxy := rig.StartProxy(record, rig.Launch{
		Name: "n0", Discovery: rig.NewDiscovery(record, list), Settings: rig.Petitions(1), MemoryMB: 192, Sockets: 1024,
	})
	count := &tally{lostSizes: map[int]int{}}
	var clients sync.WaitGroup
	began := time.Now()
	hung := false
	for n := 0; time.Since(began) < playFor; n++ {
		if !hung && rig.Trouble() && time.Since(began) > hangAfter {
			for _, server := range servers[:hanging] {
				server.Hang()
			}
			hung = true
		}
		size := 0
		if n%2 == 0 {
			size = sizes[n/2%len(sizes)]
		}
		request := &rig.Request{ID: fmt.Sprintf("%016x", n+1), Class: "send-sms", Wait: wait, Body: make([]byte, size)}
		clients.Go(func() { count.ask(record, proxy.Addr, request) })
		time.Sleep(every)
	}
	clients.Wait()
	record.Say("served %d, refused %d, failed %d, not whole at the proxy's machine %d, lost %d, by size of the body %v",
		count.served, count.refused, count.failed, count.untaken, count.lost, count.lostSizes)
	switch {
	case !proxy.Alive() || count.served == 0:
		record.Say("nothing was served, or the proxy has ended")
		return rig.NotRun
	case count.lost > 0:
		return rig.Broken
	}
	return rig.Held
}

// ask sends one request on a connection of its own and counts how it ended.
func (t *tally) ask(record *rig.Record, addr string, request *rig.Request) {
	client, err := rig.Dial(addr)
	if err != nil {
		record.Line("client %s: %v", request.ID, err)
		return
	}
	defer client.Conn.Close()
	answered := make(chan string, 1)
	var answeredAt time.Time
	go func() {
		status, _, _, err := client.Receive(time.Now().Add(20 * time.Second))
		answeredAt = time.Now()
		answered <- fmt.Sprintf("%d %v", status, err)
		t.count(status)
	}()
	client.Conn.SetWriteDeadline(time.Now().Add(watchFor))
	sentAt, err := client.Send(request)
	if err == nil {
		err = acknowledged(client.Conn, time.Now().Add(watchFor))
		sentAt = time.Now()
	}
	if err != nil { // the proxy's machine has not accepted the last byte: the proxy has not taken the request
		record.Line("client %s (%d bytes): not written whole: %v", request.ID, len(request.Body), err)
		t.Lock()
		t.untaken++
		t.Unlock()
		return
	}
	select {
	case answer := <-answered:
		record.LineAt(answeredAt, "client %s (%d bytes): answered %s, %.3f s after its last byte", request.ID,
			len(request.Body), answer, answeredAt.Sub(sentAt).Seconds())
		if answeredAt.Sub(sentAt) <= wait+slack {
			return
		}
	case <-time.After(time.Until(sentAt.Add(watchFor))):
		record.Line("client %s (%d bytes): no answer %.1f s after its last byte; it waits %.1f s", request.ID,
			len(request.Body), watchFor.Seconds(), wait.Seconds())
	}
	t.Lock()
	t.lost++
	t.lostSizes[len(request.Body)]++
	t.Unlock()
}

func (t *tally) count(status int) {
	t.Lock()
	defer t.Unlock()
	switch {
	case status == 200:
		t.served++
	case status == 429 || status == 503:
		t.refused++
	case status > 0:
		t.failed++
	}
}

// acknowledged waits until the peer's machine has acknowledged all bytes that were written to a connection.
func acknowledged(conn net.Conn, until time.Time) error {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	for {
		left := int32(1)
		var failed syscall.Errno
		err := raw.Control(func(fd uintptr) { left, failed = rig.Unacknowledged(fd) })
		switch {
		case err != nil:
			return err
		case failed != 0:
			return failed
		case left == 0:
			return nil
		case time.Now().After(until):
			return fmt.Errorf("%d bytes not accepted by the proxy's machine", left)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
