package proxycmd

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	soakSeedsVariable = "LOCKLOOM_SOAK_SEEDS" // environment variable with the number of seeds, if it is set
	soakSeeds         = 16
	soakAtOnce        = 2 // seeds played at a time
	soakEvents        = 3
	soakLeaving       = 6   // clients that leave and send their requests again
	soakCrowd         = 250 // idle connections, in every second seed
	maxSoakFlood      = 24
	maxStall          = 140 * time.Millisecond
)

// soakPlay is one play of the soak: usual clients beside a flood, while signals are sent and processes replaced.
type soakPlay struct {
	*testEnvironment
	random  *rand.Rand
	current *process
	stopped sync.WaitGroup // of processes that were replaced
}

// Guards against requests that are lost, or that run twice after their clients left, when floods, upgrades, reloads and
// stalls come together. LOCKLOOM_SOAK_SEEDS sets how many seeds are played.
func TestSoakOfFloodsAndSignals(t *testing.T) {
	seeds := soakSeeds
	if text := os.Getenv(soakSeedsVariable); text != "" {
		var err error
		seeds, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	slots := make(chan struct{}, soakAtOnce)
	var running sync.WaitGroup
	for seed := range seeds {
		slots <- struct{}{}
		running.Go(func() {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playSoak(t, uint64(seed)) })
			<-slots
		})
	}
	running.Wait()
}

func playSoak(t *testing.T, seed uint64) {
	t.Helper()
	play := &soakPlay{testEnvironment: newTestEnvironment(t, 64, 1024), random: rand.New(rand.NewPCG(seed, 0))}
	play.current = play.startReady()
	if seed%2 == 0 {
		defer play.openCrowd()()
	}
	clients := play.startClients(6, 6)
	flood := play.pickFlood()
	waitForFlood := flood.start(play.addr)
	var leaving sync.WaitGroup
	leaving.Go(func() { play.leaveAndRepeat(soakLeaving, 10*clientInterval, func() {}) })
	var events []string
	for range soakEvents {
		events = append(events, play.event())
		play.pause(200 * time.Millisecond)
	}
	waitForFlood()
	leaving.Wait()
	clients.stopAll()
	play.stopped.Wait()
	play.current.stop()
	summary := fmt.Sprintf("%s, %d connections; %v: %d sent, %d served, %d rejected, %d raced",
		flood.name, flood.connections, events, clients.sent, clients.served, clients.rejected, clients.raced)
	t.Log(summary)
	assert.Zero(t, clients.unanswered, "%s; %v", summary, clients.errors)
	assert.Zero(t, clients.refused, "%s; %v", summary, clients.errors)
	assert.Empty(t, clients.errors, summary)
	for id, runs := range play.runs {
		if id[0] == 'w' {
			assert.Equal(t, 1, runs, "executions of request %s; %s", id, summary)
		}
	}
}

// openCrowd opens idle connections, and returns the function that closes them.
func (p *soakPlay) openCrowd() (closeAll func()) {
	var crowd []net.Conn
	for range soakCrowd {
		if conn, err := net.Dial("tcp", p.addr); assert.NoError(p.t, err) {
			crowd = append(crowd, conn)
		}
	}
	return func() {
		for _, conn := range crowd {
			conn.Close()
		}
	}
}

// pickFlood returns one of the floods with few connections.
func (p *soakPlay) pickFlood() flood {
	for {
		picked := floods[p.random.IntN(len(floods))]
		if picked.connections <= maxSoakFlood {
			return picked
		}
	}
}

// pause waits for a random time.
func (p *soakPlay) pause(longest time.Duration) {
	time.Sleep(time.Duration(p.random.Int64N(int64(longest))))
}

// event sends a signal to the current process or replaces it, and returns what it did.
func (p *soakPlay) event() string {
	switch p.random.IntN(4) {
	case 0:
		assert.NoError(p.t, p.current.Process.Signal(syscall.SIGHUP))
		return "reload"
	case 1:
		assert.NoError(p.t, p.current.Process.Signal(syscall.SIGSTOP))
		p.pause(maxStall)
		assert.NoError(p.t, p.current.Process.Signal(syscall.SIGCONT))
		return "stall"
	case 2:
		p.replace(0)
		return "upgrade"
	}
	p.replace(300 * time.Millisecond)
	return "upgrade, the old process stays"
}

// replace starts a process beside the current one and stops that after a random time.
func (p *soakPlay) replace(longestOverlap time.Duration) {
	old := p.current
	p.current = p.startReady()
	if longestOverlap > 0 {
		p.pause(longestOverlap)
	}
	p.stopped.Go(old.stop)
}
