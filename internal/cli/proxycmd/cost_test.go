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

// plainTo, in the environment, makes the test's program a plain reverse proxy to that address, which says on which it listens.
const plainTo = "LOCKLOOM_PLAIN_TO"

func TestMain(m *testing.M) {
	if to := os.Getenv(plainTo); to != "" {
		u := &url.URL{Scheme: "http", Host: to}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		fmt.Println(ln.Addr())
		panic(http.Serve(ln, &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(u); r.SetXForwarded() },
			Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}))
	}
	os.Exit(m.Run())
}

// BenchmarkCost tells the processor time that a program on one core takes for a request, beside that of a plain reverse proxy of the
// standard library: on kept connections, and on a connection each.
func BenchmarkCost(b *testing.B) {
	s := newSite(b, 128)
	r := s.start()
	plain := exec.Command(os.Args[0])
	plain.Env = append(os.Environ(), plainTo+"="+s.addrs[0], "GOMAXPROCS=1")
	out, err := plain.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, plain.Start())
	defer func() { plain.Process.Kill(); plain.Wait() }()
	var at string
	fmt.Fscanln(out, &at)
	for _, way := range []struct {
		name, addr string
		pid        int
		kept       bool
	}{
		{"httputil/kept", at, plain.Process.Pid, true},
		{"lockloom/kept", s.addr, r.Process.Pid, true},
		{"httputil/new", at, plain.Process.Pid, false},
		{"lockloom/new", s.addr, r.Process.Pid, false},
	} {
		pin(b, way.pid)
		b.Run(way.name, func(b *testing.B) {
			const clients = 40
			each := b.N/clients + 1
			var work sync.WaitGroup
			before := spent(b, way.pid)
			for k := range clients {
				work.Go(func() {
					var nc net.Conn
					for i := range each {
						if nc == nil {
							var err error
							if nc, err = net.Dial("tcp", way.addr); err != nil {
								b.Error(err)
								return
							}
						}
						status, _, closes, err := ask(nc, fmt.Sprint(k, "-", i))
						if err != nil || status != 200 {
							b.Error(status, err)
							return
						}
						if closes || !way.kept {
							nc.Close()
							nc = nil
						}
					}
					if nc != nil {
						nc.Close()
					}
				})
			}
			work.Wait()
			b.ReportMetric(float64((spent(b, way.pid)-before).Nanoseconds())/float64(each*clients), "cpu-ns/op")
		})
	}
}

// pin keeps all threads of a program to one core, which others may use too.
func pin(t testing.TB, pid int) {
	var set unix.CPUSet
	set.Set(1)
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	require.NoError(t, err)
	for _, name := range threads {
		id, _ := strconv.Atoi(filepath.Base(name))
		require.NoError(t, unix.SchedSetaffinity(id, &set))
	}
}

// spent is the processor time that a program has used.
func spent(t testing.TB, pid int) time.Duration {
	var now unix.Timespec
	require.NoError(t, unix.ClockGettime(int32(^pid<<3|2), &now))
	return time.Duration(now.Nano())
}
