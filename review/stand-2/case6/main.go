// Command case holds a proxy up while long bodies in chunks are about to be sent on. See claim.txt.
package main

import (
	"fmt"
	"io"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/stand-2/rig"
)

const (
	backends = 2
	work     = 23 * time.Millisecond
	senders  = 3
	wait     = 250 * time.Millisecond // half of the hard stop of add-signature
	records  = 2800                   // of 24 bytes each, in a body
	chunk    = 350                    // records in a chunk
	heldFor  = 145 * time.Millisecond // a proxy may be held up for 0.15 s
	minGap   = 80 * time.Millisecond  // between two holds; the longest is twice as much
	playFor  = 40 * time.Second
)

// tally counts what clients and backends saw.
type tally struct {
	sent, served, other atomic.Int64
	mu                  sync.Mutex
	wrong               []string
}

func main() { rig.Main(play) }

func play(record *rig.Record) int {
	count := &tally{}
	var list []rig.Entry
	for i := range backends {
		server := rig.NewBackend(record, fmt.Sprintf("s-%d", i+1), "jhb-dc1", "type-a", 0, work)
		server.SetOnBody(func(id string, body []byte) { count.check(record, server.ID, id, body) })
		list = append(list, server.Entry)
	}
	proxy := rig.StartProxy(record, rig.Launch{
		Name: "n0", Discovery: rig.NewDiscovery(record, list), Settings: rig.Petitions(1), MemoryMB: 192, Sockets: 1024,
	})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range senders {
		clients.Go(func() { count.send(proxy.Addr, i, stop) })
	}
	time.Sleep(2 * time.Second)
	holds := 0
	for began := time.Now(); time.Since(began) < playFor; {
		if rig.Trouble() {
			proxy.Signal(syscall.SIGSTOP)
			time.Sleep(heldFor)
			proxy.Signal(syscall.SIGCONT)
			holds++
		}
		time.Sleep(minGap + time.Duration(rand.Int63n(int64(minGap))))
	}
	close(stop)
	clients.Wait()
	record.Say("sent %d, served %d, otherwise answered %d; held up %d times; bodies that no client sent: %d",
		count.sent.Load(), count.served.Load(), count.other.Load(), holds, len(count.wrong))
	switch {
	case count.served.Load() == 0:
		return rig.NotRun
	case len(count.wrong) > 0:
		return rig.Broken
	}
	return rig.Held
}

// line returns a record of a body.
func line(id string, n int) string { return fmt.Sprintf("%s %06d\n", id, n) }

// check compares a body that a backend has received whole with the one that was sent.
func (t *tally) check(record *rig.Record, server, id string, body []byte) {
	lines := strings.Split(strings.TrimSuffix(string(body), "\n"), "\n")
	for i, got := range lines {
		if got+"\n" != line(id, i) {
			t.add(record, fmt.Sprintf("%s runs %s: record %d is %q", server, id, i, got))
			return
		}
	}
	if len(lines) != records {
		t.add(record, fmt.Sprintf("%s runs %s with %d records of %d", server, id, len(lines), records))
	}
}

func (t *tally) add(record *rig.Record, text string) {
	record.Line("%s", text)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrong = append(t.wrong, text)
}

// send sends requests with long bodies in chunks, one after the other, each on a connection of its own.
func (t *tally) send(addr string, sender int, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		client, err := rig.Dial(addr)
		if err != nil {
			continue
		}
		id := fmt.Sprintf("%04x%012x", sender, n)
		var text strings.Builder
		fmt.Fprintf(&text, "POST /add-signature HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: %s\r\n"+
			"X-Qos: add-signature\r\nIdempotency-Key: k%s\r\nX-Expires-In: %.3f\r\nTransfer-Encoding: chunked\r\n\r\n",
			id, id, wait.Seconds())
		for from := 0; from < records; from += chunk {
			var part strings.Builder
			for i := from; i < from+chunk; i++ {
				part.WriteString(line(id, i))
			}
			fmt.Fprintf(&text, "%x\r\n%s\r\n", part.Len(), part.String())
		}
		text.WriteString("0\r\n\r\n")
		t.sent.Add(1)
		if _, err := io.WriteString(client.Conn, text.String()); err == nil {
			if status, _, _, err := client.Receive(time.Now().Add(2 * time.Second)); err == nil && status == 200 {
				t.served.Add(1)
			} else {
				t.other.Add(1)
			}
		}
		client.Conn.Close()
	}
}
