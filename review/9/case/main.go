// Command case sends the id of another client's open request while an upgrade's two processes serve. See claim.txt.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"lockloom/review/stand-2/rig"
)

const (
	backends = 3
	work     = 300 * time.Millisecond
	wait     = 600 * time.Millisecond // send-sms: half of the hard stop
	pairs    = 8
	every    = 100 * time.Millisecond // between two pairs
	badAfter = 50 * time.Millisecond  // from the usual client's request to the other one with its id
	termAt   = 4                      // pairs before the old process gets SIGTERM
)

// tally counts the answers to both kinds of clients.
type tally struct {
	sync.Mutex
	usual, bad map[int]int // by status; 0: the connection was closed
	broken     int         // pairs in which the other client was served while the usual client's request was open
}

func main() { rig.Main(play) }

func play(record *rig.Record) int {
	var list []rig.Entry
	var servers []*rig.Backend
	for i := range backends {
		server := rig.NewBackend(record, fmt.Sprintf("s-%d", i+1), "jhb-dc1", "type-a", 0, work)
		servers, list = append(servers, server), append(list, server.Entry)
	}
	launch := rig.Launch{
		Name: "n0", Discovery: rig.NewDiscovery(record, list), Settings: rig.Petitions(1), MemoryMB: 192, Sockets: 1024,
		Admin: true,
	}
	old := rig.StartProxy(record, launch)
	var usual []*rig.Client
	for i := range pairs { // each has sent a request before, and keeps its connection
		client, err := rig.Dial(old.Addr)
		if err != nil {
			rig.Fatal("client: %v", err)
		}
		usual = append(usual, client)
		if status := ask(record, client, fmt.Sprintf("f%015x", i)); status != 200 {
			rig.Fatal("a usual request before the upgrade: %d", status)
		}
	}
	if rig.Trouble() {
		launch.Beside = old
		rig.StartProxy(record, launch)
		record.Line("the new process has said yes")
	}
	count := &tally{usual: map[int]int{}, bad: map[int]int{}}
	var clients sync.WaitGroup
	for i, client := range usual {
		if i == termAt && rig.Trouble() {
			old.Signal(syscall.SIGTERM)
			record.Line("SIGTERM to the old process")
		}
		id := fmt.Sprintf("a%015x", i)
		clients.Go(func() { count.pair(record, old.Addr, client, id) })
		time.Sleep(every)
	}
	clients.Wait()
	return judge(record, servers, count)
}

// judge counts the pairs that were both served, and the ids that backends were sent twice.
func judge(record *rig.Record, servers []*rig.Backend, count *tally) int {
	record.Say("usual clients were answered %v; the others, with the id of an open request, %v", count.usual, count.bad)
	runs := map[string]int{}
	twice := 0
	for _, server := range servers {
		for _, got := range server.Got() {
			if runs[got.ID]++; runs[got.ID] == 2 {
				twice++
			}
		}
	}
	record.Say("served to both while the first was open: %d; ids that backends were sent twice: %d", count.broken, twice)
	switch {
	case count.usual[200] == 0:
		return rig.NotRun
	case count.broken > 0:
		return rig.Broken
	}
	return rig.Held
}

// pair sends a request of a usual client, and its id again on a new connection while it is open.
func (t *tally) pair(record *rig.Record, addr string, client *rig.Client, id string) {
	type answer struct {
		status int
		at     time.Time
	}
	done := make(chan answer, 1)
	go func() {
		status := ask(record, client, id)
		done <- answer{status, time.Now()}
	}()
	time.Sleep(badAfter)
	bad := 0
	other, err := rig.Dial(addr)
	if err == nil {
		record.Line("another client sends %s", id)
		bad = ask(record, other, id)
		other.Conn.Close()
	}
	badAt := time.Now()
	usual := <-done
	t.Lock()
	defer t.Unlock()
	t.bad[bad]++
	t.usual[usual.status]++
	// Both answers take work: the one that was sent later was sent before the earlier one was answered.
	if usual.status == 200 && bad == 200 && badAt.Sub(usual.at) < work {
		record.Line("%s: served to both", id)
		t.broken++
	}
}

// ask sends a request and returns the status of its answer.
func ask(record *rig.Record, client *rig.Client, id string) int {
	request := &rig.Request{ID: id, Class: "send-sms", Wait: wait}
	if _, err := client.Send(request); err != nil {
		record.Line("client %s: %v", id, err)
		return 0
	}
	status, body, _, err := client.Receive(time.Now().Add(2 * wait))
	record.Line("client %s: answered %d %q %v", id, status, body, err)
	return status
}
