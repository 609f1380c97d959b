// Command case upgrades a proxy of a fleet whose proxies send each other messages. See claim.txt.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/stand-2/rig"
)

const (
	fleet    = 2
	backends = 4
	every    = 20 * time.Millisecond // between two requests
	wait     = 1200 * time.Millisecond
	yesBy    = 6 * time.Second // the time that the new process has to say yes
	killIn   = 3700 * time.Millisecond
	calmFor  = 3 * time.Second
)

func main() { rig.Main(play) }

func play(record *rig.Record) int {
	var list []rig.Entry
	for i := range backends {
		server := rig.NewBackend(record, fmt.Sprintf("s-%d", i+1), "focsani-sala1", "std-2c", i/4, 30*time.Millisecond)
		list = append(list, server.Entry)
	}
	discovery := rig.NewDiscovery(record, list)
	var addrs []string
	for range fleet {
		addrs = append(addrs, rig.FreeAddr())
	}
	launches, proxies := make([]rig.Launch, fleet), make([]*rig.Proxy, fleet)
	for i := range fleet {
		launches[i] = rig.Launch{
			Name: fmt.Sprintf("n%d", i), Discovery: discovery, Settings: rig.MaintenanceFleet(fleet, i),
			MemoryMB: 192, Sockets: 1024, Admin: true,
			Peers: rig.Object{"listen": addrs[i], "peers": rig.Object{fmt.Sprint(1 - i): addrs[1-i]}},
		}
		proxies[i] = rig.StartProxy(record, launches[i])
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served atomic.Int64
	for _, proxy := range proxies {
		clients.Go(func() { traffic(record, proxy, stop, &served) })
	}
	time.Sleep(calmFor)
	ready := true
	if rig.Trouble() {
		ready = upgrade(record, launches[0], proxies[0])
	}
	time.Sleep(calmFor)
	close(stop)
	clients.Wait()
	record.Say("served %d", served.Load())
	switch {
	case served.Load() == 0:
		return rig.NotRun
	case !ready:
		return rig.Broken
	}
	return rig.Held
}

// upgrade upgrades a proxy as the platform does, and reports whether the new process serves. If it does not say yes,
// the old one is left alone.
func upgrade(record *rig.Record, launch rig.Launch, old *rig.Proxy) bool {
	launch.Beside = old
	successor := rig.Start(launch)
	record.Line("a second process of %s is started", launch.Name)
	ready := successor.AwaitReady(yesBy)
	record.Say("the new process is ready: %v; it runs: %v", ready, successor.Alive())
	if !ready {
		record.Say("its log: %s", successor.Log())
		return false
	}
	old.Signal(syscall.SIGTERM)
	time.Sleep(killIn)
	return successor.Alive()
}

// traffic sends requests to a proxy at a fixed rate, each on a connection of its own, until stop is closed.
func traffic(record *rig.Record, proxy *rig.Proxy, stop chan struct{}, served *atomic.Int64) {
	var open sync.WaitGroup
	defer open.Wait()
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
		request := &rig.Request{ID: fmt.Sprintf("%s%014x", proxy.Name, n), Class: "stare-statie", Get: true, Wait: wait}
		open.Go(func() {
			status := request.Ask(proxy.Addr)
			record.Line("client %s: answered %d", request.ID, status)
			if status == 200 {
				served.Add(1)
			}
		})
	}
}
