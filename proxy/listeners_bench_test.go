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

// BenchmarkListeners measures the processor time of a request on kept connections to the platform's and the operator's
// listener, and of one through a plain reverse proxy of the standard library, in one process and so with the same
// clients and servers, whose part is measured apart; and the same of a streamed response of largeResponse bytes.
func BenchmarkListeners(b *testing.B) {
	server := benchServer(b)
	class := "[[tariff]]\nname = \"page\"\nhard_stop = 5.0\n"
	setup, faults := config.Read("bench",
		[]byte(class+"[[pool]]\nname = \"p\"\nservers = [\""+server+"\"]\n"+
			"[[route]]\nname = \"all\"\nunder = \"/\"\npool = \"p\"\n"))
	require.Empty(b, faults)
	text := `{"seed":"1","limits":{"cores":1,"memory_mb":256,"sockets":4096},"known":{"version":1,"full":true,"servers":[
		{"id":"s","addr":"` + server + `","zone":"a","kind":"k","cell":0,"state":"active","started_ms":0}]},
		"settings":{"Ceilings":{"MaxLegs":3},"Profiles":[{"Name":"page","Effect":"retryable","HardStopMs":5000}]}}`
	cfg, err := bootstrap.Parse([]byte(text))
	require.NoError(b, err)
	cfg.Discovery = "127.0.0.1:1" // nobody: the list is as it is known
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, err := New(cfg, log)
	require.NoError(b, err)
	platform, operators := benchListen(b), benchListen(b)
	require.NoError(b, p.Configure(setup, operators))
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- p.Serve(ctx, platform) }()
	defer func() {
		stop()
		require.NoError(b, <-served)
	}()
	to, _ := url.Parse("http://" + server)
	plain := benchListen(b)
	reverseProxy := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(to); r.SetXForwarded() },
		Transport: &http.Transport{MaxIdleConnsPerHost: 100},
	}
	go func() { _ = http.Serve(plain, reverseProxy) }() // until the benchmark closes its listener
	time.Sleep(2 * firstListTimeout)
	fields := "X-Trace-Id: %d\r\nX-Qos: page\r\nX-Expires-In: 4\r\n"
	ways := []benchWay{{"no-proxy", server, "", "/page"},
		{"platform", platform.Addr().String(), fields, "/page"},
		{"operator", operators.Addr().String(), "", "/page"}, {"httputil", plain.Addr().String(), "", "/page"}}
	for _, way := range ways[:len(ways):len(ways)] {
		way.name, way.path = way.name+"-large", "/page?large"
		ways = append(ways, way)
	}
	for _, way := range ways {
		b.Run(way.name, way.run)
	}
}

// benchWay is a way from clients to the server.
type benchWay struct{ name, addr, fields, path string }

// run sends b.N requests, or a few more, on some connections.
func (way *benchWay) run(b *testing.B) {
	const clients = 8
	var group sync.WaitGroup
	before := processor(b)
	each := b.N/clients + 1
	for k := range clients {
		group.Go(func() { way.runClient(b, k*1_000_000_000, each) })
	}
	group.Wait()
	b.ReportMetric(float64((processor(b)-before).Nanoseconds())/float64(each*clients), "cpu-ns/op")
}

// runClient sends requests on one connection, with ids from firstID on.
func (way *benchWay) runClient(b *testing.B, firstID, requests int) {
	b.Helper()
	conn, err := net.Dial("tcp", way.addr)
	if err != nil {
		b.Error(err)
		return
	}
	defer conn.Close()
	r := http1.NewReader(conn)
	for i := range requests {
		fields := ""
		if way.fields != "" {
			fields = fmt.Sprintf(way.fields, firstID+i)
		}
		write(conn, "GET "+way.path+" HTTP/1.1\r\nHost: x\r\n"+fields+"\r\n")
		h, err := r.Response()
		if err != nil || h.Status != 200 {
			b.Error(err, h)
			return
		}
		n, err := io.Copy(io.Discard, r.StreamBody(h.Length, h.Chunked))
		if err != nil || way.path == "/page?large" && n != largeResponse {
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

// benchServer responds at once, at /page?large with many bytes.
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

// processor is the processor time that this process has used.
func processor(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
