package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"lockloom/internal/bootstrap"
	"lockloom/internal/config"
	"lockloom/internal/http1"
)

// BenchmarkListeners measures the CPU time of a request on persistent connections through the platform listener, an
// HTTP listener and a reverse proxy of the standard library, each with a small response and with a streamed response of
// largeResponse bytes. Clients and servers run in the same process; the no-proxy target measures their part.
func BenchmarkListeners(b *testing.B) {
	server := benchServer(b)
	class := "[[tariff]]\nname = \"page\"\nhard_stop = 5.0\n"
	operatorConfig, faults := config.Parse("bench",
		[]byte(class+"[[pool]]\nname = \"p\"\nservers = [\""+server+"\"]\n"+
			"[[route]]\nname = \"all\"\nunder = \"/\"\npool = \"p\"\n"))
	require.Empty(b, faults)
	text := `{"seed":"1","limits":{"cores":1,"memory_mb":256,"sockets":4096},"known":{"version":1,"full":true,"servers":[
		{"id":"s","addr":"` + server + `","zone":"a","kind":"k","cell":0,"state":"active","started_ms":0}]},
		"settings":{"Ceilings":{"MaxLegs":3},"Profiles":[{"Name":"page","Effect":"retryable","HardStopMs":5000}]}}`
	cfg, err := bootstrap.Parse([]byte(text))
	require.NoError(b, err)
	cfg.Discovery = "127.0.0.1:1" // unreachable: the proxy uses the known list
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, err := New(cfg, log)
	require.NoError(b, err)
	platform, httpListener := benchListen(b), benchListen(b)
	require.NoError(b, p.Configure(operatorConfig, httpListener))
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- p.Serve(ctx, platform) }()
	defer func() {
		stop()
		require.NoError(b, <-served)
	}()
	serverURL, _ := url.Parse("http://" + server)
	plain := benchListen(b)
	reverseProxy := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(serverURL); r.SetXForwarded() },
		Transport: &http.Transport{MaxIdleConnsPerHost: 100},
	}
	go func() { _ = http.Serve(plain, reverseProxy) }() // until the benchmark closes its listener
	time.Sleep(2 * firstListTimeout)
	fields := "X-Trace-Id: %d\r\nX-Qos: page\r\nX-Expires-In: 4\r\n"
	targets := []benchTarget{{"no-proxy", server, "", "/page"},
		{"platform", platform.Addr().String(), fields, "/page"},
		{"operator", httpListener.Addr().String(), "", "/page"}, {"httputil", plain.Addr().String(), "", "/page"}}
	for _, target := range targets[:len(targets):len(targets)] {
		target.name, target.path = target.name+"-large", "/page?large"
		targets = append(targets, target)
	}
	for _, target := range targets {
		b.Run(target.name, target.run)
	}
}

// benchTarget is an address at which clients reach the server, through a proxy or directly.
type benchTarget struct{ name, addr, fields, path string }

// run sends at least b.N requests on a few connections at once and reports the CPU time of each.
func (target *benchTarget) run(b *testing.B) {
	const clients = 8
	var group sync.WaitGroup
	before := cpuTime(b)
	each := b.N/clients + 1
	for k := range clients {
		group.Go(func() { target.runClient(b, k*1_000_000_000, each) })
	}
	group.Wait()
	b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/float64(each*clients), "cpu-ns/op")
}

// runClient sends requests one after the other on one connection, with ids from firstID on.
func (target *benchTarget) runClient(b *testing.B, firstID, requests int) {
	b.Helper()
	conn, err := net.Dial("tcp", target.addr)
	if err != nil {
		b.Error(err)
		return
	}
	defer conn.Close()
	r := http1.NewReader(conn)
	for i := range requests {
		fields := ""
		if target.fields != "" {
			fields = fmt.Sprintf(target.fields, firstID+i)
		}
		write(conn, "GET "+target.path+" HTTP/1.1\r\nHost: x\r\n"+fields+"\r\n")
		h, err := r.Response()
		if err != nil || h.Status != 200 {
			b.Error(err, h)
			return
		}
		n, err := io.Copy(io.Discard, r.StreamBody(h.Length, h.Chunked))
		if err != nil || target.path == "/page?large" && n != largeResponse {
			b.Error(n, err)
			return
		}
	}
}

func benchListen(b *testing.B) net.Listener {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { ln.Close() })
	return ln
}

const largeResponse = 8 << 20 // bytes

// benchServer starts a server that responds at once, to /page?large with largeResponse bytes, and returns its address.
func benchServer(b *testing.B) string {
	b.Helper()
	ln := benchListen(b)
	large := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", largeResponse)
	large = append(large, make([]byte, largeResponse)...)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				r := http1.NewReader(nc)
				for {
					h, err := r.Request()
					if err != nil {
						return
					}
					resp := []byte(okResponse)
					if string(h.Target) == "/page?large" {
						resp = large
					}
					if _, err = r.Body(h.Length, h.Chunked); err != nil {
						return
					}
					if _, err = nc.Write(resp); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
