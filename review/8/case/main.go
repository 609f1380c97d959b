// Command case lets a proxy stand still while it is told that a backend drains. See claim.txt.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lockloom/review/stand-2/rig"
)

const (
	backends   = 8
	drains     = 4
	every      = 10 * time.Millisecond // between two requests
	wait       = 1300 * time.Millisecond
	grace      = 300 * time.Millisecond // Rules.StopSendingWithinMs, and 50 ms on sockets
	stillFor   = 900 * time.Millisecond
	stillEvery = 3 * time.Second
	toldAfter  = 50 * time.Millisecond // from the time at which the proxy begins to stand still
)

func main() { rig.Main(play) }

func play(record *rig.Record) int {
	var list []rig.Entry
	var servers []*rig.Backend
	for i := range backends {
		server := rig.NewBackend(record, fmt.Sprintf("s-%d", i+1), "anping-room", "gen3", i/4, 60*time.Millisecond)
		servers, list = append(servers, server), append(list, server.Entry)
	}
	discovery := rig.NewDiscovery(record, list)
	proxy := rig.StartProxy(record, rig.Launch{
		Name: "n0", Discovery: discovery, Settings: rig.Branches(), MemoryMB: 192, Sockets: 1024,
	})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served atomic.Int64
	clients.Go(func() { traffic(record, proxy.Addr, stop, &served) })
	told := make([]time.Time, backends)
	for i := range drains {
		time.Sleep(stillEvery - stillFor)
		leaving := servers[i].Entry
		leaving.State = "leaving"
		if rig.Trouble() {
			proxy.Signal(syscall.SIGSTOP)
			record.Line("the proxy stands still")
		}
		time.Sleep(toldAfter)
		told[i] = discovery.Set(leaving)
		time.Sleep(stillFor - toldAfter)
		if rig.Trouble() {
			proxy.Signal(syscall.SIGCONT)
			record.Line("the proxy goes on")
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	return judge(record, servers[:drains], told, served.Load())
}

// judge counts what the draining backends got after the grace.
func judge(record *rig.Record, servers []*rig.Backend, told []time.Time, served int64) int {
	late := 0
	for i, server := range servers {
		for _, got := range server.Got() {
			if since := got.FirstAt.Sub(told[i]); since > grace {
				late++
				record.Line("sent to %s %.3f s after the proxy was told that it drains: %s", server.ID, since.Seconds(), got.ID)
			}
		}
	}
	record.Say("served %d; sent to draining backends after the grace: %d", served, late)
	switch {
	case served == 0:
		return rig.NotRun
	case late > 0:
		return rig.Broken
	}
	return rig.Held
}

// traffic sends requests at a fixed rate, each on a connection of its own, until stop is closed.
func traffic(record *rig.Record, addr string, stop chan struct{}, served *atomic.Int64) {
	var open sync.WaitGroup
	defer open.Wait()
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
		request := &rig.Request{ID: fmt.Sprintf("%016x", n), Class: "loan", Key: fmt.Sprintf("%032x", n), Wait: wait}
		open.Go(func() {
			client, err := rig.Dial(addr)
			if err != nil {
				record.Line("client %s: %v", request.ID, err)
				return
			}
			defer client.Conn.Close()
			if _, err := client.Send(request); err != nil {
				return
			}
			status, _, _, err := client.Receive(time.Now().Add(2 * wait))
			record.Line("client %s: answered %d %v", request.ID, status, err)
			if status == 200 {
				served.Add(1)
			}
		})
	}
}
