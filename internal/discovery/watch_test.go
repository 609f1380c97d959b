package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"

	"lockloom/internal/discovery/notification"
)

// agent is a discovery agent with a scripted response to each call. It records the calls.
type agent struct {
	began    time.Time
	handlers []func(serverConn net.Conn) // one for each of the next calls; further calls are refused

	mu       sync.Mutex
	requests []string        // request lines
	dialedAt []time.Duration // since began
}

func (a *agent) dial(_ context.Context, addr string) (net.Conn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dialedAt = append(a.dialedAt, time.Since(a.began).Round(time.Millisecond))
	if len(a.handlers) == 0 {
		return nil, errors.New("refused")
	}
	handler := a.handlers[0]
	a.handlers = a.handlers[1:]
	clientConn, serverConn := net.Pipe()
	go func() {
		line, _, _ := strings.Cut(receive(serverConn), "\r\n")
		a.mu.Lock()
		a.requests = append(a.requests, line)
		a.mu.Unlock()
		handler(serverConn)
	}()
	return clientConn, nil
}

// streamHead is the response head of a watch.
const streamHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// send writes to a proxy and reports whether that succeeded: the proxy may have canceled its call.
func send(serverConn net.Conn, text string) bool {
	_, err := io.WriteString(serverConn, text)
	return err == nil
}

// receive reads and returns a request, "" if the call was canceled.
func receive(serverConn net.Conn) string {
	buf := make([]byte, 1000)
	n, err := serverConn.Read(buf)
	if err != nil {
		return ""
	}
	return string(buf[:n])
}

// chunk encodes a chunk of a body with chunked transfer coding.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// listChunk returns a chunk with a list of one entry.
func listChunk(version int, full bool) string {
	return chunk(fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`+"\n", version, full, entryText))
}

func TestWatchFollowsListAcrossCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lists []List
		connections := 0
		log, _ := test.NewNullLogger()
		a := &agent{began: time.Now()}
		a.handlers = []func(net.Conn){
			func(conn net.Conn) { // lists, heartbeats, a list in two chunks, a malformed list
				send(conn, streamHead+listChunk(42, true)+chunk("\n"))
				time.Sleep(2 * time.Second)
				send(conn, chunk("\n"))
				time.Sleep(2 * time.Second)
				list := `{"version":43,"full":false,"servers":[]}` + "\n"
				send(conn, chunk(list[:9])+chunk(list[9:])+chunk(`{"version":44,"servers":[{"id":"x"}]}`+"\n")+listChunk(45, true))
			},
			func(conn net.Conn) { conn.Close() },
			func(conn net.Conn) { // a list of many endpoints in one chunk
				many := strings.Repeat(entryText+",", 2000) + entryText
				send(conn, streamHead+chunk(`{"version":44,"full":true,"servers":[`+many+"]}\n"))
				conn.Close()
			},
			func(conn net.Conn) { send(conn, "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n") },
			func(conn net.Conn) { send(conn, streamHead+listChunk(46, false)+"0\r\n\r\n") },
			func(conn net.Conn) { // sends no heartbeat within SilenceTimeout
				send(conn, streamHead)
				time.Sleep(time.Minute)
			},
		}
		ctx, stop := context.WithCancel(t.Context())
		w := &Watch{
			Addr:        "agent:1",
			Version:     41,
			Dial:        a.dial,
			Log:         log,
			OnConnected: func() { connections++ },
			OnList:      func(l List) { lists = append(lists, l) },
		}
		go w.Run(ctx)
		time.Sleep(30 * time.Second)
		stop()
		synctest.Wait()
		var versions []int64
		for _, l := range lists {
			versions = append(versions, l.Version)
		}
		assert.Equal(t, []int64{42, 43, 44, 46}, versions, "data after a malformed list is ignored")
		assert.Equal(t, 3, connections, "streams that sent an event")
		var indexes []string
		for _, line := range a.requests {
			index := strings.TrimPrefix(line, "GET /discovery/hosts?stream=1&index=")
			indexes = append(indexes, strings.TrimSuffix(index, " HTTP/1.1"))
		}
		assert.Equal(t, []string{"41", "43", "43", "44", "44", "46"}, indexes, "each call continues from the last version")
		if assert.Greater(t, len(a.dialedAt), 9, "calls are retried without limit") {
			for i := 6; i < len(a.dialedAt); i++ {
				gap := (a.dialedAt[i] - a.dialedAt[i-1]).Seconds()
				assert.LessOrEqual(t, gap, notification.MaxHedgeDelay)
				assert.GreaterOrEqual(t, gap, notification.MinRetryDelay/2)
			}
			last := len(a.dialedAt) - 1
			lastGap := (a.dialedAt[last] - a.dialedAt[last-1]).Seconds()
			assert.GreaterOrEqual(t, lastGap, notification.MaxRetryDelay/2, "delays increase after failures")
		}
		time.Sleep(time.Minute) // until the agent's last handler returns
	})
}

// Guards against proxies that cancel queued calls to make new ones, which keeps an overloaded discovery service
// overloaded.
func TestWatchKeepsItsPlaceInTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := test.NewNullLogger()
		a := &agent{began: time.Now()}
		a.handlers = []func(net.Conn){func(conn net.Conn) {
			time.Sleep(7 * time.Second)
			send(conn, streamHead+listChunk(42, true))
			conn.Close()
		}}
		ctx, stop := context.WithCancel(t.Context())
		var versions []int64
		w := &Watch{
			Addr:        "agent:1",
			Version:     41,
			Dial:        a.dial,
			Log:         log,
			OnConnected: func() {},
			OnList:      func(l List) { versions = append(versions, l.Version) },
		}
		go w.Run(ctx)
		time.Sleep(7*time.Second - time.Millisecond)
		synctest.Wait()
		assert.Len(t, a.requests, 1, "the call stays queued, and no other is made")
		time.Sleep(time.Second)
		stop()
		synctest.Wait()
		assert.Equal(t, []int64{42}, versions)
	})
}
