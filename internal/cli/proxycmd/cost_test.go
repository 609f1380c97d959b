package proxycmd

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// plainProxyTo names the environment variable that makes the test binary a plain reverse proxy to the address it holds.
// The proxy prints the address on which it listens.
const plainProxyTo = "LOCKLOOM_PLAIN_TO"

func TestMain(m *testing.M) {
	if to := os.Getenv(plainProxyTo); to != "" {
		panic(servePlainProxy(to))
	}
	os.Exit(m.Run())
}

// servePlainProxy serves a reverse proxy of the standard library.
func servePlainProxy(to string) error {
	target := &url.URL{Scheme: "http", Host: to}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	return http.Serve(ln, &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(target)
			r.SetXForwarded()
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 1000},
	})
}

// BenchmarkCost measures the CPU time per request of a program on one core, compared with a reverse proxy of the
// standard library: on persistent connections, and with a connection per request.
func BenchmarkCost(b *testing.B) {
	s := newTestEnvironment(b, 128, 1024)
	lockloom := s.startReady()
	plain := exec.Command(os.Args[0])
	plain.Env = append(os.Environ(), plainProxyTo+"="+s.serverAddrs[0], "GOMAXPROCS=1")
	out, err := plain.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, plain.Start())
	defer func() {
		require.NoError(b, plain.Process.Kill())
		require.Error(b, plain.Wait(), "the process was killed")
	}()
	var plainAddr string
	_, err = fmt.Fscanln(out, &plainAddr)
	require.NoError(b, err)
	for _, c := range []struct {
		name, addr string
		pid        int
		keepsAlive bool
	}{
		{"httputil/kept", plainAddr, plain.Process.Pid, true},
		{"lockloom/kept", s.addr, lockloom.Process.Pid, true},
		{"httputil/new", plainAddr, plain.Process.Pid, false},
		{"lockloom/new", s.addr, lockloom.Process.Pid, false},
	} {
		pinToCore(b, c.pid)
		b.Run(c.name, func(b *testing.B) {
			const clients = 40
			requests := b.N/clients + 1
			var running sync.WaitGroup
			before := cpuTime(b, c.pid)
			for i := range clients {
				running.Go(func() {
					if err := sendRequests(c.addr, fmt.Sprint(i), requests, c.keepsAlive); err != nil {
						b.Error(err)
					}
				})
			}
			running.Wait()
			used := cpuTime(b, c.pid) - before
			b.ReportMetric(float64(used.Nanoseconds())/float64(requests*clients), "cpu-ns/op")
		})
	}
}

// sendRequests sends requests one after the other, until one fails.
func sendRequests(addr, client string, requests int, keepsAlive bool) error {
	var conn net.Conn
	for i := range requests {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", addr); err != nil {
				return err
			}
		}
		r, err := sendRequest(conn, fmt.Sprint(client, "-", i))
		if err != nil || r.status != 200 {
			conn.Close()
			return fmt.Errorf("status %d: %w", r.status, err)
		}
		if r.closes || !keepsAlive {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
	return nil
}

// pinToCore pins all threads of a process to one core, which other processes may use too.
func pinToCore(tb testing.TB, pid int) {
	tb.Helper()
	var core unix.CPUSet
	core.Set(1)
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	require.NoError(tb, err)
	for _, thread := range threads {
		id, err := strconv.Atoi(filepath.Base(thread))
		require.NoError(tb, err)
		require.NoError(tb, unix.SchedSetaffinity(id, &core))
	}
}

// cpuTime returns the CPU time that a process has used.
func cpuTime(tb testing.TB, pid int) time.Duration {
	tb.Helper()
	var used unix.Timespec
	processClock := int32(^pid<<3 | 2) // see clock_getcpuclockid(3)
	require.NoError(tb, unix.ClockGettime(processClock, &used))
	return time.Duration(used.Nano())
}
