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
		[]byte(class+"[[pool]]\nname = \"p\"\nservers = [\""+server+"\"]\n[[route]]\nname = \"all\"\nunder = \"/\"\npool = \"p\"\n"))
	require.Empty(b, faults)
	text := `{"seed":"1","limits":{"cores":1,"memory_mb":256,"sockets":4096},"known":{"version":1,"full":true,"servers":[
		{"id":"s","addr":"` + server + `","zone":"a","kind":"k","cell":0,"state":"active","started_ms":0}]},
		"settings":{"Ceilings":{"MaxLegs":3},"Profiles":[{"Name":"page","Effect":"retryable","HardStopMs":5000}]}}`
	l, err := bootstrap.Parse([]byte(text))
	require.NoError(b, err)
	l.Discovery = "127.0.0.1:1" // nobody: the list is as it is known
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, err := New(l, log)
	require.NoError(b, err)
	platform, ordinary := benchListen(b), benchListen(b)
	require.NoError(b, p.Configure(setup, ordinary))
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- p.Serve(ctx, platform) }()
	defer func() { stop(); <-served }()
	to, _ := url.Parse("http://" + server)
	plain := benchListen(b)
	go http.Serve(plain, &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(to); r.SetXForwarded() },
		Transport: &http.Transport{MaxIdleConnsPerHost: 100}})
	time.Sleep(2 * firstListTimeout)
	fields := "X-Trace-Id: %d\r\nX-Qos: page\r\nX-Expires-In: 4\r\n"
	ways := []struct{ name, addr, fields, path string }{{"no-proxy", server, "", "/page"},
		{"platform", platform.Addr().String(), fields, "/page"},
		{"ordinary", ordinary.Addr().String(), "", "/page"}, {"httputil", plain.Addr().String(), "", "/page"}}
	for _, way := range ways[:len(ways):len(ways)] {
		way.name, way.path = way.name+"-large", "/page?large"
		ways = append(ways, way)
	}
	for _, way := range ways {
		b.Run(way.name, func(b *testing.B) {
			var work sync.WaitGroup
			const clients = 8
			before := processor()
			each := b.N/clients + 1
			for k := range clients {
				work.Go(func() {
					nc, err := net.Dial("tcp", way.addr)
					if err != nil {
						b.Error(err)
						return
					}
					defer nc.Close()
					r := http1.NewReader(nc)
					for i := range each {
						own := ""
						if way.fields != "" {
							own = fmt.Sprintf(way.fields, k*1_000_000_000+i)
						}
						write(nc, "GET "+way.path+" HTTP/1.1\r\nHost: x\r\n"+own+"\r\n")
						h, err := r.Response()
						if err != nil || h.Status != 200 {
							b.Error(err, h)
							return
						}
						if n, err := io.Copy(io.Discard, r.StreamBody(h.Length, h.Chunked)); err != nil || way.path == "/page?large" &&
							n != largeAnswer {
							b.Error(n, err)
							return
						}
					}
				})
			}
			work.Wait()
			b.ReportMetric(float64((processor()-before).Nanoseconds())/float64(each*clients), "cpu-ns/op")
		})
	}
}

func benchListen(b *testing.B) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { ln.Close() })
	return ln
}

const largeAnswer = 8 << 20 // bytes

// benchServer responds at once, at /page?large with many bytes.
func benchServer(b *testing.B) string {
	ln := benchListen(b)
	large := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", largeAnswer)
	large = append(large, make([]byte, largeAnswer)...)
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
					whole := []byte(okResponse)
					if string(h.Target) == "/page?large" {
						whole = large
					}
					r.Body(h.Length, h.Chunked)
					nc.Write(whole)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// processor is the processor time that this process has used.
func processor() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
