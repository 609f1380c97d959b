// Command case sends chunked bodies while other clients stop in the middle of theirs and stay. See claim.txt.
package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"review/stand-2/rig"
)

const (
	backends  = 4
	memoryMB  = 64
	sockets   = 512
	wait      = 600 * time.Millisecond // of a usual client: half of the hard stop of send-sms
	slack     = 550 * time.Millisecond // an answer up to half a second late earns nothing; 50 ms on sockets
	every     = 50 * time.Millisecond  // between two usual requests
	bodySize  = 40 << 10               // of a usual request, in chunks of chunkSize
	chunkSize = 8 << 10
	others    = 120      // clients that stop in the middle of a request and stay
	announced = 64 << 10 // the length that such a client announces
	half      = 32 << 10 // what it sends
	badAt     = 3 * time.Second
	playFor   = 15 * time.Second
)

// tally counts how the usual requests ended.
type tally struct {
	sync.Mutex
	status  map[int]int
	lost    int
	longest time.Duration
}

func main() { rig.Main(play) }

func play(record *rig.Record) int {
	var list []rig.Entry
	for i := range backends {
		server := rig.NewBackend(record, fmt.Sprintf("s-%d", i+1), "jhb-dc1", "type-a", 0, 15*time.Millisecond)
		list = append(list, server.Entry)
	}
	proxy := rig.StartProxy(record, rig.Launch{
		Name: "n0", Discovery: rig.NewDiscovery(record, list), Settings: rig.Petitions(1), MemoryMB: memoryMB,
		Sockets: sockets,
	})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	if rig.Trouble() {
		time.AfterFunc(badAt, func() {
			record.Line("%d clients begin to stop in the middle of a request", others)
			for range others {
				go stay(proxy.Addr, stop)
			}
		})
	}
	count := &tally{status: map[int]int{}}
	began := time.Now()
	for n := 1; time.Since(began) < playFor; n++ {
		clients.Go(func() { count.ask(record, proxy.Addr, n) })
		time.Sleep(every)
	}
	clients.Wait()
	close(stop)
	record.Say("usual clients were answered %v; lost %d; the longest time to an answer %.3f s; they wait %.1f s",
		count.status, count.lost, count.longest.Seconds(), wait.Seconds())
	switch {
	case count.status[200] == 0 || !proxy.Alive():
		return rig.NotRun
	case count.lost > 0:
		return rig.Broken
	}
	return rig.Held
}

// ask sends a usual request, with a body in chunks, and counts how it ended.
func (t *tally) ask(record *rig.Record, addr string, n int) {
	client, err := rig.Dial(addr)
	if err != nil {
		record.Line("client %d: %v", n, err)
		return
	}
	defer client.Conn.Close()
	id := fmt.Sprintf("%016x", n)
	text := fmt.Sprintf("POST /send-sms HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: %s\r\nX-Qos: send-sms\r\n"+
		"X-Expires-In: %.3f\r\nTransfer-Encoding: chunked\r\n\r\n", id, wait.Seconds())
	for range bodySize / chunkSize {
		text += fmt.Sprintf("%x\r\n%s\r\n", chunkSize, make([]byte, chunkSize))
	}
	if _, err := io.WriteString(client.Conn, text+"0\r\n\r\n"); err != nil {
		record.Line("client %s: not written: %v", id, err)
		return
	}
	sentAt := time.Now()
	status, _, _, err := client.Receive(sentAt.Add(5 * time.Second))
	took := time.Since(sentAt)
	record.Line("client %s: answered %d %v, %.3f s after its last byte", id, status, err, took.Seconds())
	t.Lock()
	defer t.Unlock()
	t.status[status]++
	t.longest = max(t.longest, took)
	if took > wait+slack {
		t.lost++
	}
}

// stay sends half of a request and stays, and does so again as soon as it is turned away.
func stay(addr string, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		fmt.Fprintf(conn, "POST /send-sms HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: %d\r\nX-Qos: send-sms\r\n"+
			"X-Expires-In: 0.6\r\nContent-Length: %d\r\n\r\n", time.Now().UnixNano(), announced)
		_, _ = conn.Write(make([]byte, half))
		conn.SetReadDeadline(time.Now().Add(6 * time.Second))
		_, _ = io.Copy(io.Discard, conn)
		conn.Close()
	}
}
