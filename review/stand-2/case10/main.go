// Command case disables a backend that the list has left out while it still serves. See claim.txt.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"review/stand-2/rig"
)

const (
	backends  = 5
	every     = 15 * time.Millisecond // between two requests
	wait      = 1200 * time.Millisecond
	grace     = 550 * time.Millisecond // Rules.StopSendingWithinMs, and 50 ms on sockets
	leftAt    = 2 * time.Second
	disableAt = 4 * time.Second
	playFor   = 10 * time.Second
)

func main() { rig.Main(play) }

func play(record *rig.Record) int {
	var list []rig.Entry
	var servers []*rig.Backend
	for i := range backends {
		server := rig.NewBackend(record, fmt.Sprintf("s-%d", i+1), "focsani-sala1", "std-2c", i/3, 30*time.Millisecond)
		servers, list = append(servers, server), append(list, server.Entry)
	}
	discovery := rig.NewDiscovery(record, list)
	proxy := rig.StartProxy(record, rig.Launch{
		Name: "n0", Discovery: discovery, Settings: rig.Maintenance(), MemoryMB: 192, Sockets: 1024, Admin: true,
	})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served atomic.Int64
	clients.Go(func() { traffic(record, proxy.Addr, stop, &served) })
	time.Sleep(leftAt)
	if rig.Trouble() {
		gone := servers[0].Entry
		gone.State = "left"
		discovery.Set(gone)
	}
	time.Sleep(disableAt - leftAt)
	status := rig.Call(proxy.Admin, "PUT", "/-/backends/s-1/disable")
	saidYes := time.Now()
	record.Say("PUT /-/backends/s-1/disable: %d", status)
	if status/100 != 2 {
		return rig.NotRun
	}
	time.Sleep(playFor - disableAt)
	close(stop)
	clients.Wait()
	return judge(record, servers[0], saidYes, served.Load())
}

// judge counts what the disabled backend got, by the time of its first byte.
func judge(record *rig.Record, server *rig.Backend, saidYes time.Time, served int64) int {
	before, within, after := 0, 0, 0
	for _, got := range server.Got() {
		switch since := got.FirstAt.Sub(saidYes); {
		case since <= 0:
			before++
		case since <= grace:
			within++
		default:
			after++
			record.Line("sent to s-1 %.3f s after the yes: %s", since.Seconds(), got.ID)
		}
	}
	record.Say("served %d; s-1 got %d before it was disabled, %d within the grace, %d after it",
		served, before, within, after)
	switch {
	case served == 0 || before == 0:
		return rig.NotRun
	case after > 0:
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
		request := &rig.Request{ID: fmt.Sprintf("%016x", n), Class: "stare-statie", Get: true, Wait: wait}
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
