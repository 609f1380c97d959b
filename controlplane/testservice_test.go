package controlplane

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/assignment"
	"lockloom/internal/config"
)

const plainConfig = `
[control]
address = "127.0.0.1:0"
%s
[[tariff]]
name = "t"
hard_stop = 2.0
[[pool]]
name = "p"
[[route]]
name = "all"
prefix = "/"
pool = "p"
`

// secondPool is a pool with a route to it, to be appended to plainConfig.
const secondPool = `[[pool]]
name = "q"
[[route]]
name = "more"
prefix = "/q"
pool = "q"
`

// configText is plainConfig with further settings in its control table.
func configText(controlSettings string) string { return fmt.Sprintf(plainConfig, controlSettings) }

func parseConfig(tb testing.TB, text string) *config.Config {
	tb.Helper()
	parsed, faults := config.Parse("test.toml", []byte(text))
	require.Empty(tb, faults)
	return parsed
}

// testService is a running service with the observations of its pools.
type testService struct {
	*Service
	tb       testing.TB
	log      *test.Hook
	addr     string
	stopOnce sync.Once
	served   chan error // receives the result of Serve

	mu           sync.Mutex // guards observations
	observations map[string]assignment.Observation
}

// startService starts a service that has observed pool p with the given number of servers.
func startService(tb testing.TB, text string, servers int) *testService {
	tb.Helper()
	service := startWithoutObservation(tb, text, servers)
	service.observe()
	return service
}

// startWithoutObservation starts a service that has no observations yet. Unless the test changes them, the observations
// that observe passes to it are those of pool p with the given number of servers.
func startWithoutObservation(tb testing.TB, text string, servers int) *testService {
	tb.Helper()
	log, hook := test.NewNullLogger()
	settings := assignment.Settings{SlowStartFraction: .2, SlowStartDuration: 20, CrashFactor: 3}
	service, err := New(parseConfig(tb, text), settings, log)
	require.NoError(tb, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	started := &testService{
		Service:      service,
		tb:           tb,
		log:          hook,
		addr:         ln.Addr().String(),
		served:       make(chan error, 1),
		observations: map[string]assignment.Observation{"p": observationOf(servers)},
	}
	go func() { started.served <- service.Serve(ln) }()
	tb.Cleanup(started.stop)
	return started
}

// stop stops the service. Further calls do nothing.
func (s *testService) stop() {
	s.stopOnce.Do(func() {
		s.Stop()
		assert.NoError(s.tb, <-s.served)
	})
}

// observe passes the observations to the service.
func (s *testService) observe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Update(float64(time.Now().UnixMicro())/1e6, maps.Clone(s.observations))
	for pool, observation := range s.observations {
		observation.Removed = nil
		s.observations[pool] = observation
	}
}

// setSecondPool sets the observation of pool q, for the next call of observe.
func (s *testService) setSecondPool(observation assignment.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observations["q"] = observation
}

// changePool changes the observation of pool p and passes it to the service.
func (s *testService) changePool(change func(o *assignment.Observation)) {
	s.mu.Lock()
	observation := s.observations["p"]
	observation.Servers = slices.Clone(observation.Servers)
	change(&observation)
	s.observations["p"] = observation
	s.mu.Unlock()
	s.observe()
}

// drain passes an observation to the service in which a server of pool p, given by its index, is draining.
func (s *testService) drain(server int) {
	s.changePool(func(o *assignment.Observation) { o.Servers[server].Draining = true })
}

// observationOf returns an observation of the given number of identical, healthy servers, in zones a and b in turn.
func observationOf(servers int) (observation assignment.Observation) {
	for i := range servers {
		observation.Servers = append(observation.Servers, assignment.ServerEstimate{
			Name:   fmt.Sprint("s", i),
			Addr:   fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Zone:   string("ab"[i%2]),
			Payoff: .9,
		})
	}
	return observation
}
