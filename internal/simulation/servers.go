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

// StandaloneServers are the servers and discovery agents of a scenario on sockets, without its proxies and clients.
type StandaloneServers struct {
	Environments [][]string // by proxy: its environment variables, as NAME=VALUE

	scenario *Scenario
	servers  *fakeserver.ServerGroup
}

// noObserver is a fakeserver.Observer that discards all events.
type noObserver struct{}

func (noObserver) AttemptReceived(float64, string, int, int, int) {}

func (noObserver) AttemptRejected(string) {}

func (noObserver) MemberNotReady(float64, int) {}

func (noObserver) ProxyNotified(float64, int, int) {}

func (noObserver) ServerCrashed(float64, int) {}

func (noObserver) AttemptServed(string, float64) {}

// StartServers starts the servers and discovery agents of a scenario, and writes a launch file and an environment file
// for each proxy to a folder.
func (s *Scenario) StartServers(folder string, seed uint64) (*StandaloneServers, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	fleet := s.NewFleet(seed, wallClock()())
	servers, err := fakeserver.Open(fleet, s.ProxyFleet.Count, s.RequestClasses(), noObserver{})
	if err != nil {
		return nil, err
	}
	servers.IndentLists = s.Deployment.IndentedLists
	st := &StandaloneServers{scenario: s, servers: servers}
	if err := st.writeFiles(folder, seed); err != nil {
		servers.Close()
		return nil, err
	}
	return st, nil
}

// writeFiles writes the launch file and the environment file of each proxy.
func (st *StandaloneServers) writeFiles(folder string, seed uint64) error {
	addrs, err := st.servers.FreeAddrs(st.scenario.ProxyFleet.Count)
	if err != nil {
		return err
	}
	for i, addr := range addrs {
		name := "p" + strconv.Itoa(i+1)
		launchFile := filepath.Join(folder, name+".json")
		agent := st.servers.Agent(i)
		text, err := st.scenario.LaunchFile(name, addr, agent.Addr(), seed+uint64(i), agent.List())
		if err != nil {
			return err
		}
		if err := os.WriteFile(launchFile, text, 0o644); err != nil {
			return err
		}
		variables := Environment(name, addr, agent.Addr(), launchFile)
		environment := strings.Join(variables, "\n") + "\n" // lines that a shell can source
		if err := os.WriteFile(filepath.Join(folder, name+".env"), []byte(environment), 0o644); err != nil {
			return err
		}
		st.Environments = append(st.Environments, variables)
	}
	return nil
}

// Run serves until the context is done or a server fails. With play it also carries out the scenario's faults, except
// those of proxies.
func (st *StandaloneServers) Run(ctx context.Context, play bool) error {
	if play {
		if finished, err := st.playTimeline(ctx); !finished {
			return err
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

// playTimeline carries out the entries of the timeline, and reports whether it reached the last one.
func (st *StandaloneServers) playTimeline(ctx context.Context) (finished bool, err error) {
	start := time.Now()
	for _, entry := range st.scenario.Timeline() {
		select {
		case <-time.After(time.Until(start.Add(seconds(entry.At)))):
		case <-ctx.Done():
			return false, nil
		}
		if entry.ProxyEvent == NoProxyEvent {
			if err := st.servers.Apply(entry.Change); err != nil {
				return false, err
			}
			continue
		}
		for i := range st.scenario.ProxyFleet.Count {
			if entry.ProxyIndex < 0 || entry.ProxyIndex == i {
				entry.applyToList(st.servers.Agent(i))
			}
		}
	}
	return true, nil
}

// Close stops the servers and agents.
func (st *StandaloneServers) Close() { st.servers.Close() }
