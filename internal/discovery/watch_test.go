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

// agent is discovery's end of each call, in order: what it was asked, and how it goes on.
type agent struct {
	began   time.Time
	answers []func(end net.Conn) // of the calls to come; without one a call is refused

	mu       sync.Mutex
	requests []string        // their first lines
	dialedAt []time.Duration // since began
}

func (a *agent) dial(_ context.Context, addr string) (net.Conn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dialedAt = append(a.dialedAt, time.Since(a.began).Round(time.Millisecond))
	if len(a.answers) == 0 {
		return nil, errors.New("refused")
	}
	answer := a.answers[0]
	a.answers = a.answers[1:]
	ours, theirs := net.Pipe()
	go func() {
		line, _, _ := strings.Cut(receive(theirs), "\r\n")
		a.mu.Lock()
		a.requests = append(a.requests, line)
		a.mu.Unlock()
		answer(theirs)
	}()
	return ours, nil
}

// streamHead begins a watch.
const streamHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// send writes to a proxy and reports whether it was taken: the proxy may have given its call up, which tests see there.
func send(end net.Conn, text string) bool {
	_, err := io.WriteString(end, text)
	return err == nil
}

// receive reads a request, "" if the call was given up.
func receive(end net.Conn) string {
	buf := make([]byte, 1000)
	n, err := end.Read(buf)
	if err != nil {
		return ""
	}
	return string(buf[:n])
}

// chunk returns a chunk of a body.
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
		a.answers = []func(net.Conn){
			func(end net.Conn) { // lists, heartbeats, a list in two chunks, a malformed one
				send(end, streamHead+listChunk(42, true)+chunk("\n"))
				time.Sleep(2 * time.Second)
				send(end, chunk("\n"))
				time.Sleep(2 * time.Second)
				list := `{"version":43,"full":false,"servers":[]}` + "\n"
				send(end, chunk(list[:9])+chunk(list[9:])+chunk(`{"version":44,"servers":[{"id":"x"}]}`+"\n")+listChunk(45, true))
			},
			func(end net.Conn) { end.Close() },
			func(end net.Conn) { // a list of many in one chunk
				many := strings.Repeat(entryText+",", 2000) + entryText
				send(end, streamHead+chunk(`{"version":44,"full":true,"servers":[`+many+"]}\n"))
				end.Close()
			},
			func(end net.Conn) { send(end, "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n") },
			func(end net.Conn) { send(end, streamHead+listChunk(46, false)+"0\r\n\r\n") },
			func(end net.Conn) { // silent for longer than a heartbeat takes
				send(end, streamHead)
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
		assert.Equal(t, []int64{42, 43, 44, 46}, versions, "what follows a malformed list is ignored")
		assert.Equal(t, 3, connections, "streams that sent an event")
		var indexes []string
		for _, line := range a.requests {
			index := strings.TrimPrefix(line, "GET /discovery/hosts?stream=1&index=")
			indexes = append(indexes, strings.TrimSuffix(index, " HTTP/1.1"))
		}
		assert.Equal(t, []string{"41", "43", "43", "44", "44", "46"}, indexes, "it goes on from the last version")
		if assert.Greater(t, len(a.dialedAt), 9, "it goes on trying") {
			for i := 6; i < len(a.dialedAt); i++ {
				gap := (a.dialedAt[i] - a.dialedAt[i-1]).Seconds()
				assert.LessOrEqual(t, gap, notification.MaxHedgeDelay)
				assert.GreaterOrEqual(t, gap, notification.MinRetryDelay/2)
			}
			last := len(a.dialedAt) - 1
			lastGap := (a.dialedAt[last] - a.dialedAt[last-1]).Seconds()
			assert.GreaterOrEqual(t, lastGap, notification.MaxRetryDelay/2, "delays grow")
		}
		time.Sleep(time.Minute) // until the silent agent ends
	})
}

// Discovery queues calls while it is overloaded. Proxies that gave up their calls to make new ones would keep it so.
func TestWatchKeepsItsPlaceInTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := test.NewNullLogger()
		a := &agent{began: time.Now()}
		a.answers = []func(net.Conn){func(end net.Conn) {
			time.Sleep(7 * time.Second)
			send(end, streamHead+listChunk(42, true))
			end.Close()
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
		assert.Len(t, a.requests, 1, "it calls once and waits")
		time.Sleep(time.Second)
		stop()
		synctest.Wait()
		assert.Equal(t, []int64{42}, versions)
	})
}
