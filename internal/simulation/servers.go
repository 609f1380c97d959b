package simulation

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"lockloom/internal/fakeserver"
)

// StandaloneServers is a scenario's servers and list agents on sockets, without proxies or clients.
type StandaloneServers struct {
	Variables [][]string // for each proxy, what it needs in its environment

	s       *Scenario
	servers *fakeserver.ServerGroup
}

// noObserver takes note of nothing.
type noObserver struct{}

func (noObserver) AttemptReceived(float64, string, int, int, int) {}

func (noObserver) AttemptRejected(string) {}

func (noObserver) MemberNotReady(float64, int) {}

func (noObserver) ProxyNotified(float64, int, int) {}

func (noObserver) ServerCrashed(float64, int) {}

func (noObserver) AttemptServed(string, float64) {}

// StartServers puts them up, and writes a launch file for each proxy into a folder.
func (s *Scenario) StartServers(folder string, seed uint64) (*StandaloneServers, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	clock := time.Now()
	servers, err := fakeserver.Open(
		s.Fleet(seed, float64(clock.UnixMicro())/1e6),
		s.ProxyFleet.Count,
		s.RequestClasses(),
		noObserver{},
	)
	if err != nil {
		return nil, err
	}
	servers.IndentLists = s.Deployment.IndentedLists
	st := &StandaloneServers{s: s, servers: servers}
	addrs, err := servers.FreeAddrs(s.ProxyFleet.Count)
	for i := 0; err == nil && i < len(addrs); i++ {
		name, file := "p"+strconv.Itoa(i+1), filepath.Join(folder, "p"+strconv.Itoa(i+1)+".json")
		var text []byte
		if text, err = s.Launch(name, addrs[i], servers.Agent(i).Addr(), seed+uint64(i), servers.Agent(i).List()); err == nil {
			err = os.WriteFile(file, text, 0o644)
		}
		variables := Variables(name, addrs[i], servers.Agent(i).Addr(), file)
		if err == nil { // for a shell
			err = os.WriteFile(filepath.Join(folder, name+".env"), []byte(strings.Join(variables, "\n")+"\n"), 0o644)
		}
		st.Variables = append(st.Variables, variables)
	}
	if err != nil {
		servers.Close()
		return nil, err
	}
	return st, nil
}

// Run serves until the context ends, and plays the troubles if asked to. Those of proxies happen to nobody here.
func (st *StandaloneServers) Run(ctx context.Context, play bool) error {
	start := time.Now()
	for _, h := range st.s.Timeline() {
		if !play {
			break
		}
		select {
		case <-time.After(time.Until(start.Add(seconds(h.At)))):
		case <-ctx.Done():
			return nil
		}
		switch h.ProxyEvent {
		case NoProxyEvent:
			if err := st.servers.Apply(h.Change); err != nil {
				return err
			}
		default:
			for i := range st.s.ProxyFleet.Count {
				if h.ProxyIndex < 0 || h.ProxyIndex == i {
					h.applyToList(st.servers.Agent(i))
				}
			}
		}
	}
	for {
		select {
		case <-ctx.Done():
			return st.servers.Err()
		case <-time.After(time.Second):
			if err := st.servers.Err(); err != nil {
				return err
			}
		}
	}
}

// Close ends them.
func (st *StandaloneServers) Close() { st.servers.Close() }
