package proxycmd

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
)

const (
	floodDuration  = 1500 * time.Millisecond // how long a flood lasts
	usualInterval  = 25 * time.Millisecond   // between two usual requests, each on a connection of its own
	minUsualWait   = 150 * time.Millisecond
	maxUsualWait   = 300 * time.Millisecond
	lostAfter      = 500 * time.Millisecond // an answer that comes later than this after its client's time counts as lost
	floodBlockSize = 32 << 10               // bytes that a flood writes at a time
	floodSeed      = 76                     // of the usual clients' waits
)

// flood is a way in which a few clients may keep the proxy busy for as long as they like.
type flood struct {
	name        string
	connections int
	act         func(conn net.Conn, number int64) // what a client does on each new connection until that fails
}

const (
	readinessRequest = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
	chunkedHead      = "POST /look HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\nX-Trace-Id: f%d\r\nX-Expires-In: 1\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n"
)

// otherFloods do not go to the address of clients.
var otherFloods = []struct {
	name string
	act  func(s *testEnvironment, p *process, end time.Time)
}{
	{"admin calls", func(_ *testEnvironment, p *process, _ time.Time) {
		connectAgainAndAgain(p.adminAddr, 1, floodDuration, func(conn net.Conn, number int64) {
			exchange(conn, []string{"GET /-/ready HTTP/1.1\r\n\r\n", "nonsense\r\n\r\n"}[number%2])
		})()
	}},
	{"gossip", func(s *testEnvironment, _ *process, end time.Time) {
		for time.Now().Before(end) {
			s.peer.Send(0, balance.GossipMessage{Rate: 1})
		}
	}},
	{"lists of discovery", func(s *testEnvironment, _ *process, end time.Time) { s.floodLists(end) }},
	{"datagrams of strangers", func(s *testEnvironment, _ *process, end time.Time) {
		conn, err := net.Dial("udp", s.peer.proxyAddr)
		if !assert.NoError(s.t, err) {
			return
		}
		defer conn.Close()
		for datagram := make([]byte, 1000); time.Now().Before(end); {
			_, _ = conn.Write(datagram) // fails while the receiver's buffer is full
		}
	}},
}

// pipelinedChecks is a flood that stands for all where a test is about something else.
var pipelinedChecks = flood{"readiness checks pipelined", 6, func(conn net.Conn, _ int64) {
	sendEndlessly(conn, "", readinessRequest)
}}

var floods = []flood{
	{"readiness checks in turn", 6, func(conn net.Conn, _ int64) {
		for exchange(conn, readinessRequest) {
		}
	}},
	{"readiness checks in turn", 300, func(conn net.Conn, _ int64) {
		for exchange(conn, readinessRequest) {
		}
	}},
	{pipelinedChecks.name, 24, pipelinedChecks.act},
	{"paths that do not exist", 24, func(conn net.Conn, _ int64) {
		exchange(conn, "GET /none HTTP/1.1\r\nHost: x\r\n\r\n")
	}},
	{"unsound heads", 24, func(conn net.Conn, number int64) {
		exchange(conn, fmt.Sprintf("GET /look HTTP/1.1\r\nX-Trace-Id: f%d\r\n no field\r\n\r\n", number))
	}},
	{"empty lines", 6, func(conn net.Conn, _ int64) { sendEndlessly(conn, "", "\r\n") }},
	{"bytes behind an error", 24, func(conn net.Conn, _ int64) { sendEndlessly(conn, "nonsense\r\n\r\n", "GET") }},
	{"one chunk of one byte after the other", 1, func(conn net.Conn, number int64) {
		sendEndlessly(conn, fmt.Sprintf(chunkedHead, number), "1\r\nb\r\n")
	}},
	{"chunks of one byte", 6, func(conn net.Conn, number int64) {
		sendEndlessly(conn, fmt.Sprintf(chunkedHead, number), "1\r\nb\r\n")
	}},
	{"chunk extensions", 6, func(conn net.Conn, number int64) {
		sendEndlessly(conn, fmt.Sprintf(chunkedHead, number), "1;"+strings.Repeat("x", 1000)+"\r\nb\r\n")
	}},
	{"chunks that nobody needs", 24, func(conn net.Conn, _ int64) {
		sendEndlessly(conn, "GET /up HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n")
	}},
	{"requests without time", 6, func(conn net.Conn, number int64) {
		for n := 0; exchange(conn, expiredRequest(number, n)); n++ {
		}
	}},
	{"requests without time pipelined", 6, func(conn net.Conn, number int64) {
		go drain(conn)
		for n := 0; send(conn, []byte(expiredRequest(number, n))); n++ {
		}
	}},
	{"requests with 100-continue", 24, func(conn net.Conn, number int64) {
		for n := 0; exchange(conn, fmt.Sprintf("POST /look HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\nX-Trace-Id: f%d-%d\r\n"+
			"X-Expires-In: 0\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n", number, n)) && send(conn, []byte("b")); n++ {
		}
	}},
	{"requests pipelined", 6, func(conn net.Conn, number int64) {
		go drain(conn)
		for n := 0; send(conn, []byte(lookRequest(fmt.Sprintf("f%d-%d", number, n), ""))); n++ {
		}
	}},
	{"large responses", 6, func(conn net.Conn, number int64) {
		send(conn, []byte(lookRequest(fmt.Sprintf("f%d", number), "?large")))
		drain(conn)
	}},
	{"large bodies", 6, func(conn net.Conn, number int64) {
		sendEndlessly(conn, fmt.Sprintf("POST /look HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\nX-Trace-Id: f%d\r\n"+
			"X-Expires-In: 1\r\nContent-Length: 40000000\r\n\r\n", number), strings.Repeat("b", 1000))
	}},
	{"requests under ever new names", 24, func(conn net.Conn, number int64) {
		for n := 0; exchange(conn, fmt.Sprintf("GET /look?user=u%d-%d HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\n"+
			"X-Customer: c%d-%d\r\nX-Trace-Id: f%d-%d\r\nX-Expires-In: 1\r\n\r\n", number, n, number, n, number, n)); n++ {
		}
	}},
}

// floodLists answers the proxy's calls to discovery with changes of the list, as fast as they are read. Only the first
// caller can listen at the address.
func (s *testEnvironment) floodLists(end time.Time) {
	const variable = "ROUTER_DISCOVERY="
	i := slices.IndexFunc(s.env, func(entry string) bool { return strings.HasPrefix(entry, variable) })
	listener, err := net.Listen("tcp", strings.TrimPrefix(s.env[i], variable))
	if err != nil {
		return
	}
	defer listener.Close()
	time.AfterFunc(time.Until(end), func() { listener.Close() })
	for version := 2; ; {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		conn.SetDeadline(end)
		send(conn, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for sent := true; sent; version++ {
			line := fmt.Sprintf(`{"version":%d,"full":false,"servers":[{"id":"b1","addr":%q,"state":"active","started_ms":0}]}`,
				version, s.serverAddrs[0]) + "\n"
			sent = send(conn, fmt.Appendf(nil, "%x\r\n%s\r\n", len(line), line))
		}
		conn.Close()
	}
}

// expiredRequest returns a valid request whose client does not wait.
func expiredRequest(number int64, n int) string {
	request := lookRequest(fmt.Sprintf("f%d-%d", number, n), "")
	return strings.Replace(request, "X-Expires-In: 1", "X-Expires-In: 0", 1)
}

// exchange sends a request, waits for the first bytes of a response and reports whether both succeeded.
func exchange(conn net.Conn, request string) bool {
	if !send(conn, []byte(request)) {
		return false
	}
	var response [4 << 10]byte
	_, err := conn.Read(response[:])
	return err == nil
}

// sendEndlessly sends a head, then a piece of text again and again until the connection ends. It drops what it
// receives.
func sendEndlessly(conn net.Conn, head, piece string) {
	go drain(conn)
	block := bytes.Repeat([]byte(piece), floodBlockSize/len(piece))
	if !send(conn, []byte(head)) {
		return
	}
	for send(conn, block) {
	}
}

// start starts the flood's clients, which end by themselves after floodDuration. The returned function waits for that.
func (f *flood) start(addr string) (wait func()) {
	return connectAgainAndAgain(addr, f.connections, floodDuration, f.act)
}

// usualResults holds how the usual clients' requests ended.
type usualResults struct {
	mu                     sync.Mutex
	sent                   int
	served, rejected, lost int
	other                  []string
	times                  []time.Duration // until the answer
}

// String returns the counts and the quantiles of the times.
func (r *usualResults) String() string {
	slices.Sort(r.times)
	text := fmt.Sprintf("%d sent, %d served, %d rejected, %d lost, other %v",
		r.sent, r.served, r.rejected, r.lost, r.other)
	if n := len(r.times); n > 0 {
		text += fmt.Sprintf("; median %v, 99%% %v, worst %v", r.times[n/2], r.times[n*99/100], r.times[n-1])
	}
	return text
}

// sendUsual sends a usual request every usualInterval for a duration and returns how they ended.
func sendUsual(addr string, duration time.Duration) *usualResults {
	results := &usualResults{}
	random := rand.New(rand.NewPCG(floodSeed, 0))
	var running sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(usualInterval) {
		results.sent++
		id := fmt.Sprintf("u%d", results.sent)
		wait := minUsualWait + time.Duration(random.Int64N(int64(maxUsualWait-minUsualWait)))
		running.Go(func() { results.request(addr, id, wait) })
	}
	running.Wait()
	return results
}

// request sends one request on a connection of its own and records how it ended.
func (r *usualResults) request(addr, id string, wait time.Duration) {
	began := time.Now()
	status := 0
	if conn, err := net.Dial("tcp", addr); err == nil {
		defer conn.Close()
		conn.SetDeadline(began.Add(wait + lostAfter))
		send(conn, []byte("GET /look HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\nX-Trace-Id: "+id+
			fmt.Sprintf("\r\nX-Expires-In: %.3f\r\n\r\n", wait.Seconds())))
		var text []byte
		if text, err = readResponse(conn); err == nil {
			_, _ = fmt.Sscanf(string(text), "HTTP/1.1 %d", &status) // stays 0 where it is no response
		}
	}
	took := time.Since(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch status {
	case 0:
		r.lost++
		return
	case 200:
		r.served++
	case 503:
		r.rejected++
	default:
		r.other = append(r.other, fmt.Sprint(status))
	}
	r.times = append(r.times, took)
}

// readResponse reads up to the end of a response's head and what has come behind it.
func readResponse(conn net.Conn) ([]byte, error) {
	var text []byte
	buffer := make([]byte, 4<<10)
	for !bytes.Contains(text, []byte("\r\n\r\n")) {
		n, err := conn.Read(buffer)
		text = append(text, buffer[:n]...)
		if err != nil {
			return nil, fmt.Errorf("after %d bytes: %w", len(text), err)
		}
	}
	return text, nil
}

// Guards against a client that sends at full speed and gets its own answers while those of all others come late or
// never.
func TestOthersAreServedBesideAFlood(t *testing.T) {
	for _, f := range floods {
		testFlood(t, fmt.Sprintf("%s, %d connections", f.name, f.connections), func(s *testEnvironment, _ *process) func() {
			return f.start(s.addr)
		})
	}
}

// Guards against the same where a flood goes to the address for operators or for gossip, or comes from discovery.
func TestClientsAreServedBesideAFloodOfOtherMessages(t *testing.T) {
	const senders = 6
	for _, f := range otherFloods {
		testFlood(t, f.name, func(s *testEnvironment, p *process) func() {
			var running sync.WaitGroup
			for range senders {
				running.Go(func() { f.act(s, p, time.Now().Add(floodDuration)) })
			}
			return running.Wait
		})
	}
}

// testFlood checks that usual clients are served while a flood lasts. start starts it and returns the function that
// waits for its end.
func testFlood(t *testing.T, name string, start func(s *testEnvironment, p *process) (wait func())) {
	t.Helper()
	const memoryMB = 64
	t.Run(name, func(t *testing.T) {
		s := newTestEnvironment(t, memoryMB, 1024)
		s.startGossipPeer()
		p := s.startReady()
		wait := start(s, p)
		time.Sleep(usualInterval) // until the flood is under way
		usual := sendUsual(s.addr, floodDuration-2*usualInterval)
		wait()
		t.Log(usual)
		assert.Zero(t, usual.lost, "requests without an answer in time")
		assert.Empty(t, usual.other)
		assert.GreaterOrEqual(t, float64(usual.served), minServedShare*float64(usual.sent))
		assert.Less(t, p.memory("VmHWM"), memoryMB<<10)
		p.stop()
	})
}

// Guards against readiness checks that wait behind all other work: a load balancer in front would take the proxy for
// dead.
func TestReadinessIsAnsweredBesideOverload(t *testing.T) {
	const busyClients, checkInterval, maxCheckTime = 100, 100 * time.Millisecond, 300 * time.Millisecond
	s := newTestEnvironment(t, 64, 1024)
	p := s.startReady()
	load := flood{connections: busyClients, act: func(conn net.Conn, number int64) {
		for n := 0; exchange(conn, lookRequest(fmt.Sprintf("f%d-%d", number, n), "")); n++ {
		}
	}}
	waitForLoad, waitForChecks := load.start(s.addr), pipelinedChecks.start(s.addr)
	longest := time.Duration(0)
	for end := time.Now().Add(floodDuration - 2*checkInterval); time.Now().Before(end); time.Sleep(checkInterval) {
		began := time.Now()
		conn, err := net.Dial("tcp", s.addr)
		if assert.NoError(t, err) {
			assert.True(t, exchange(conn, readinessRequest))
			conn.Close()
		}
		longest = max(longest, time.Since(began))
	}
	waitForLoad()
	waitForChecks()
	t.Logf("longest check: %v", longest)
	assert.Less(t, longest, maxCheckTime)
	p.stop()
}
