package proxycmd

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/cli"
	"lockloom/internal/hotrestart"
	"lockloom/internal/http1"
)

// built is the program, built once.
var built = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "lockloom-test")
	if err != nil {
		return "", err
	}
	name := filepath.Join(dir, "lockloom")
	out, err := exec.Command("go", "build", "-o", name, "lockloom/cmd/lockloom").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return name, err
})

// site is a proxy's surroundings: two servers, a list of them that no agent tells anew, and a folder.
type site struct {
	t      testing.TB
	env    []string
	addr   string
	dir    string
	addrs  []string // of the servers
	mu     sync.Mutex
	served map[string]int // by server's id
	ids    map[string]int // by request's
	fails  string         // the id of a server that fails all
	first  string         // the program of the first process
	later  string         // and of all others
	begun  int
}

// oldBinary names an older build of the program, for tests of upgrades from it and back to it. CI has none.
const oldBinary = "LOCKLOOM_OLD_BINARY"

// eachPair runs a test of an upgrade: with an older build in the first part and in the second, if one is named; else with the present one in both.
func eachPair(t *testing.T, test func(s *site)) {
	present, err := built()
	require.NoError(t, err)
	pairs := map[string][2]string{"present build": {present, present}}
	if old := os.Getenv(oldBinary); old != "" {
		pairs = map[string][2]string{"from the old build": {old, present}, "back to the old build": {present, old}}
	}
	for name, pair := range pairs {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 64)
			s.first, s.later = pair[0], pair[1]
			test(s)
		})
	}
}

const largeAnswer = 32 << 20 // bytes

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

func newSite(t testing.TB, memory int) *site {
	program, err := built()
	require.NoError(t, err)
	s := &site{t: t, dir: t.TempDir(), served: map[string]int{}, ids: map[string]int{}, addr: freeAddr(t), first: program, later: program}
	var rows []string
	for _, id := range []string{"b1", "b2"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NoError(t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/look" && r.URL.RawQuery == "large" {
				w.Header().Set("Content-Length", strconv.Itoa(largeAnswer))
				io.CopyN(w, zeros{}, largeAnswer)
				return
			}
			s.mu.Lock()
			s.served[id]++
			s.ids[r.Header.Get("X-Trace-Id")]++
			fails := s.fails == id
			s.mu.Unlock()
			if fails {
				http.Error(w, "it fails", http.StatusInternalServerError)
				return
			}
			io.WriteString(w, r.Header.Get("X-Trace-Id"))
		})}
		go server.Serve(ln)
		t.Cleanup(func() { server.Close() })
		s.addrs = append(s.addrs, ln.Addr().String())
		rows = append(rows, fmt.Sprintf(`{"id":%q,"addr":%q,"state":"active","started_ms":0}`, id, ln.Addr().String()))
	}
	file := filepath.Join(s.dir, "launch.json")
	text := `{"seed":"1","limits":{"cores":1,"memory_mb":` + strconv.Itoa(memory) + `,"sockets":1024},"known":{"version":1,"full":true,"servers":[` +
		strings.Join(rows, ",") + `]},"settings":{"Ceilings":{"MaxLegs":3,"ConnIdleMs":5000},"Rules":{"StopSendingWithinMs":500},
		"Profiles":[{"Name":"look","Effect":"retryable","DueTimeMs":500,"HardStopMs":1000,"Value":1}]}}`
	assert.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	s.env = append(os.Environ(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+s.addr, "ROUTER_DISCOVERY="+freeAddr(t), "ROUTER_CONFIG="+file,
		"TMPDIR="+s.dir)
	return s
}

var addrs atomic.Int64 // given out

// freeAddr is an address where nobody listens. Danger: a port that was free on an address that others use too may be another's by the
// time a process listens there, or the same port be given out twice; so each is on a loopback address of its own.
func freeAddr(t testing.TB) string {
	n := addrs.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%64, n/250%250, 1+n%250))
	assert.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// running is one process of the proxy.
type running struct {
	*exec.Cmd
	t         testing.TB
	door, out string // the operators'; the file of its log
	over      chan struct{}
	err       error
}

// begin starts a process.
func (s *site) begin() *running {
	name := s.first
	if s.begun++; s.begun > 1 {
		name = s.later
	}
	r := &running{Cmd: exec.Command(name, "serve"), t: s.t, door: freeAddr(s.t), over: make(chan struct{})}
	r.Env = append(s.env, "ROUTER_OPERATOR="+r.door)
	log, err := os.CreateTemp(s.dir, "log")
	require.NoError(s.t, err)
	defer log.Close()
	r.out, r.Stderr = log.Name(), log
	require.NoError(s.t, r.Start())
	go func() { r.err = r.Wait(); close(r.over) }()
	s.t.Cleanup(r.kill)
	return r
}

// start starts a process and waits until it says yes.
func (s *site) start() *running {
	r := s.begin()
	require.Eventually(s.t, func() bool { return r.call("ready") == cli.Done }, 20*time.Second, 5*time.Millisecond, r.log())
	return r
}

func (r *running) kill() { r.Process.Kill(); <-r.over }

func (r *running) log() string {
	text, _ := os.ReadFile(r.out)
	return string(text)
}

// call makes a call of the command line at its door.
func (r *running) call(words ...string) int {
	return Run(append(words, r.door), io.Discard, io.Discard)
}

// stop has it end by itself.
func (r *running) stop() {
	r.Process.Signal(syscall.SIGTERM)
	select {
	case <-r.over:
		assert.NoError(r.t, r.err, r.log())
	case <-time.After(2500 * time.Millisecond): // it may be killed after its longest deadline and 0.7 s
		assert.Fail(r.t, "it has not ended", r.log())
	}
}

// crowd asks until told to stop: some on connections that they keep, others on a new one each time.
type crowd struct {
	stop                           chan struct{}
	all                            sync.WaitGroup
	mu                             sync.Mutex
	asked, served, refused, unread int
	crossed                        int      // sent as a connection closed between requests, and once more on a new one, as clients do
	dismissed                      int      // told to come again, which is no loss: a busy machine makes some requests late
	seen                           []string // what went wrong, at first
}

func (s *site) crowd(kept, fresh int) *crowd {
	c := &crowd{stop: make(chan struct{})}
	for i := range kept + fresh {
		c.all.Go(func() {
			var nc net.Conn
			used := false // this connection had an answer
			for n := 0; ; n++ {
				select {
				case <-c.stop:
					return
				case <-time.After(4 * time.Millisecond):
				}
				if nc == nil {
					var err error
					if nc, err = net.Dial("tcp", s.addr); err != nil {
						nc = nil
						c.note(&c.refused, err)
						continue
					}
				}
				id := fmt.Sprintf("%x-%x", i, n)
				c.note(&c.asked, nil)
				status, body, closes, err := ask(nc, id)
				if err == io.EOF && used {
					nc.Close()
					if nc, err = net.Dial("tcp", s.addr); err == nil {
						c.note(&c.crossed, nil)
						status, body, closes, err = ask(nc, id)
					}
				}
				used = true
				switch {
				case err != nil:
					c.note(&c.unread, err)
				case status == 200 && body == id:
					c.note(&c.served, nil)
				case status == 503:
					c.note(&c.dismissed, nil)
				default:
					c.note(new(int), fmt.Errorf("%d %q", status, body))
				}
				if err != nil || closes || i >= kept {
					if nc != nil {
						nc.Close()
					}
					nc, used = nil, false
				}
			}
		})
	}
	return c
}

// ask asks on a connection that has nothing else on it.
func ask(nc net.Conn, id string) (status int, body string, closes bool, err error) {
	nc.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(nc, "GET /look HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\nX-Trace-Id: %s\r\nX-Expires-In: 1\r\n\r\n", id)
	r := http1.NewReader(nc)
	h, err := r.Response()
	if err != nil {
		return 0, "", true, err
	}
	status, closes = h.Status, h.Close
	text, err := r.Body(h.Length, h.Chunked)
	return status, string(text), closes, err
}

func (c *crowd) note(count *int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *count++; err != nil && len(c.seen) < 5 {
		c.seen = append(c.seen, err.Error())
	}
}

// now is how many were served so far.
func (c *crowd) now() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

func (c *crowd) end() {
	close(c.stop)
	c.all.Wait()
}

// Danger: staff upgrade the proxy while it serves. Nobody may be refused, nothing taken may be lost, nothing may run twice; and a ban
// binds at the process that it was called at, at the other, and at the next.
func TestUpgradeUnderLoad(t *testing.T) { eachPair(t, upgradeUnderLoad) }

func upgradeUnderLoad(s *site) {
	t, old := s.t, s.start()
	c := s.crowd(8, 8)
	only := func(want ...string) {
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		clear(s.served)
		s.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Equal(t, want, slices.Sorted(maps.Keys(s.served)))
	}
	only("b1", "b2")
	assert.Equal(t, cli.Failed, old.call("disable", "b9"), "never listed")
	assert.Equal(t, cli.Done, old.call("disable", "b1"))
	next := s.start()
	only("b2")
	assert.Equal(t, cli.Done, next.call("enable", "b1"))
	only("b1", "b2")
	assert.Equal(t, cli.Done, next.call("disable", "b2"))
	assert.Equal(t, cli.Done, next.call("disable", "b2"), "it may be repeated")
	old.stop()
	only("b1")
	assert.Equal(t, cli.Done, next.call("enable", "b2"), "one call back ends it")
	only("b1", "b2")
	c.end()
	assert.Equal(t, []int{0, 0, c.asked}, []int{c.refused, c.unread, c.served + c.dismissed}, "refused, ended without an answer, answered")
	assert.Greater(t, c.served, c.asked*9/10)
	assert.LessOrEqual(t, c.crossed, 5, "closes that cross a request are few")
	assert.Empty(t, c.seen, old.log())
	for id, n := range s.ids {
		assert.Equal(t, 1, n, "%s ran once", id)
	}
	assert.Contains(t, next.log(), "hot restart: took over from the predecessor")
	t.Logf("%d lookups, over an upgrade", c.asked)
}

// Whatever becomes of either process at whatever point, somebody serves, and can be upgraded again.
func TestKilledInUpgrade(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(s *site, old *running)
		ends bool // the old one has
	}{
		{"new before it serves", func(s *site, _ *running) { r := s.begin(); time.Sleep(15 * time.Millisecond); r.kill() }, false},
		{"new once it serves", func(s *site, _ *running) { s.start().kill() }, false},
		{"old at once", func(s *site, old *running) { s.start(); old.kill() }, true},
		{"old told to go", func(s *site, old *running) {
			s.start()
			old.Process.Signal(syscall.SIGTERM)
			time.Sleep(50 * time.Millisecond)
			old.kill()
		}, true},
		{"a third", func(s *site, old *running) { next := s.start(); s.start(); next.stop(); old.stop() }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 64)
			old := s.start()
			crowd := s.crowd(2, 2)
			defer crowd.end()
			serves := func() {
				time.Sleep(200 * time.Millisecond)
				before := crowd.now()
				time.Sleep(500 * time.Millisecond)
				assert.Greater(t, crowd.now(), before+20)
			}
			c.play(s, old)
			serves()
			last := s.start()
			if !c.ends {
				old.stop()
			}
			serves()
			last.stop()
		})
	}
}

// memory is what a process holds, in kB: VmRSS now, VmHWM at most so far.
func (r *running) memory(name string) (kB int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.Process.Pid))
	assert.NoError(r.t, err)
	_, rest, _ := strings.Cut(string(text), name+":")
	fmt.Sscan(rest, &kB)
	return kB
}

// Danger: answers are larger than all the memory there is, many at once, and their clients read at a trickle.
func TestLargeAnswersInLittleMemory(t *testing.T) {
	t.Parallel()
	const answers, memory = 40, 32
	s := newSite(t, memory)
	p := s.start()
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() {
			nc, err := net.Dial("tcp", s.addr)
			if !assert.NoError(t, err) {
				return
			}
			defer nc.Close()
			r := http1.NewReader(nc)
			var h *http1.Head
			for n := range 50 { // on a machine that is busy some are rejected, and come again
				fmt.Fprintf(nc, "GET /look?large HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\nX-Trace-Id: %d-%d\r\nX-Expires-In: 1\r\n\r\n", i, n)
				if h, err = r.Response(); !assert.NoError(t, err) {
					return
				}
				if h.Status == 200 {
					break
				}
				r.Body(h.Length, h.Chunked)
				time.Sleep(100 * time.Millisecond)
			}
			if !assert.Equal(t, 200, h.Status) {
				return
			}
			body := r.StreamBody(h.Length, h.Chunked)
			got := int64(0)
			for range 30 { // past its deadline
				n, err := io.CopyN(io.Discard, body, 10_000)
				assert.NoError(t, err)
				got += n
				time.Sleep(50 * time.Millisecond)
			}
			n, err := io.Copy(io.Discard, body)
			assert.NoError(t, err)
			assert.EqualValues(t, largeAnswer, got+n)
		})
	}
	all.Wait()
	assert.Less(t, p.memory("VmHWM"), memory<<10)
	t.Logf("%d answers of %d MB: %d kB at most", answers, largeAnswer>>20, p.memory("VmHWM"))
	p.stop()
}

// What is drained stays so over an upgrade; how a proxy drains is proxy.TestDrain.
func TestDrainAndResume(t *testing.T) { eachPair(t, drainAndResume) }

func drainAndResume(s *site) {
	t, old := s.t, s.start()
	up := func() int { return Run([]string{"up", s.addr}, io.Discard, io.Discard) }
	busy, err := net.Dial("tcp", s.addr)
	require.NoError(t, err)
	assert.Equal(t, cli.Done, old.call("drain"))
	assert.Equal(t, []int{cli.Failed, cli.Done}, []int{up(), old.call("ready")}, "the process takes clients, though it wants none")
	time.Sleep(700 * time.Millisecond)
	status, _, closes, err := ask(busy, "2")
	assert.NoError(t, err)
	assert.True(t, status == 200 && closes, "served, and sent away")
	next := s.start()
	old.stop()
	assert.Equal(t, cli.Failed, up(), "drained still")
	assert.Equal(t, cli.Done, next.call("resume"))
	assert.Equal(t, cli.Done, up())
}

// ask is what the process that serves would hand over now; nil: none does.
func (s *site) ask() *hotrestart.State {
	h := hotrestart.Identity{Format: hotrestart.Format, Name: "n0", Listen: s.addr}
	got, lns, link, err := hotrestart.TakeOver(hotrestart.Path(s.dir, h), h)
	if err != nil {
		return nil
	}
	link.Close()
	for _, ln := range lns {
		ln.Close()
	}
	return got
}

// state is the same once there is one: a process that serves again offers a moment later.
func (s *site) state() (got *hotrestart.State) {
	for end := time.Now().Add(5 * time.Second); got == nil && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		got = s.ask()
	}
	require.NotNil(s.t, got)
	return got
}

// A next process holds what the one before held: the list, the ids, what operators ordered, and what the decisions learned. What is ordered
// later at either reaches the other.
func TestHandsOverState(t *testing.T) { eachPair(t, handsOverState) }

func handsOverState(s *site) {
	t, old := s.t, s.start()
	s.fails = "b2"
	c := s.crowd(8, 0)
	require.Eventually(t, func() bool { return c.now() > 500 }, 10*time.Second, 10*time.Millisecond)
	c.end()
	assert.Equal(t, cli.Done, old.call("disable", "b2"))
	assert.Equal(t, cli.Done, old.call("drain"))
	before := s.state()
	next := s.start()
	after := s.state()
	assert.True(t, after.AdminState.Drain.On && after.AdminState.Servers["b2"].On)
	assert.Equal(t, []any{before.Identity, before.AdminState, before.IDs, before.List, true}, []any{after.Identity, after.AdminState, after.IDs, after.List, after.Listed})
	assert.Equal(t, before.Snapshot.BaseLatencies, after.Snapshot.BaseLatencies)
	paused := 0
	require.Equal(t, []int{2, 2}, []int{len(before.Snapshot.Servers), len(after.Snapshot.Servers)})
	for i, l := range after.Snapshot.Servers {
		was := before.Snapshot.Servers[i]
		assert.True(t, was.NameHash != 0 && was.Limit > 0 && was.RelativeLatency > 0 && was.Confidence > 0, "learned")
		if was.Paused {
			paused++
			assert.InDelta(t, was.PauseRemaining, l.PauseRemaining, 3)
		} else {
			was.Errors, was.Results = 0, 0 // counts of a window that is forgotten
		}
		assert.InDelta(t, was.Age, l.Age, 3)
		was.Age, was.PauseRemaining = l.Age, l.PauseRemaining
		assert.Equal(t, was, l)
	}
	assert.Equal(t, 1, paused, "the one that fails")

	assert.Equal(t, cli.Failed, Run([]string{"up", s.addr}, io.Discard, io.Discard), "drained still")
	assert.Equal(t, cli.Done, old.call("disable", "b1"))
	require.Eventually(t, func() bool { got := s.ask(); return got != nil && got.AdminState.Servers["b1"].On }, 5*time.Second, 50*time.Millisecond,
		"what is ordered at the old one")
	for _, order := range [][]string{{"enable", "b1"}, {"enable", "b2"}, {"resume"}} {
		assert.Equal(t, cli.Done, next.call(order...))
	}
	want := s.state().AdminState
	assert.False(t, want.Drain.On || want.Servers["b1"].On || want.Servers["b2"].On)
	require.Eventually(t, func() bool { return strings.Contains(old.log(), "drained=false") }, 5*time.Second, 20*time.Millisecond, old.log())
	next.kill()
	require.Eventually(t, func() bool { return strings.Contains(old.log(), "serving again") }, 5*time.Second, 20*time.Millisecond, old.log())
	assert.Equal(t, want, s.state().AdminState, "what is ordered at the new one")
	assert.Equal(t, cli.Done, Run([]string{"up", s.addr}, io.Discard, io.Discard))
	old.stop()
}

// BenchmarkUpgrade upgrades under 2,000 clients that come one after the other, 500 a second, each on a connection of its own.
func BenchmarkUpgrade(b *testing.B) {
	const clients, apart = 2000, 2 * time.Millisecond
	for range b.N {
		s := newSite(b, 64)
		old := s.start()
		c, worst, both := &crowd{}, time.Duration(0), 0
		c.all.Go(func() {
			time.Sleep(clients / 3 * apart)
			next := s.start()
			both = old.memory("VmRSS") + next.memory("VmRSS")
			time.Sleep(clients / 3 * apart)
			old.stop()
		})
		for i := range clients {
			time.Sleep(apart)
			c.all.Go(func() {
				began := time.Now()
				nc, err := net.Dial("tcp", s.addr)
				if err != nil {
					c.note(&c.refused, err)
					return
				}
				defer nc.Close()
				if status, _, _, err := ask(nc, strconv.Itoa(i)); err != nil || status != 200 {
					c.note(&c.unread, fmt.Errorf("%d %w", status, err))
				}
				c.mu.Lock()
				worst = max(worst, time.Since(began))
				c.mu.Unlock()
			})
		}
		c.all.Wait()
		b.ReportMetric(float64(c.refused), "refused/op")
		b.ReportMetric(float64(c.unread), "unserved/op")
		b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
		b.ReportMetric(float64(both), "both-kB")
		if len(c.seen) > 0 {
			b.Log(c.seen)
		}
	}
}
