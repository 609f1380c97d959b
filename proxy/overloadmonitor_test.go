package proxy

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/limits"
)

// occupyCore limits the proxy's core to n requests at a time and fills it. The returned function ends these requests.
func (env *testEnv) occupyCore(n int) func() {
	env.overload.mu.Lock()
	env.overload.Overload = limits.NewOverload(n, 0)
	for range n {
		env.overload.RequestArrived(env.now(), env.now(), 1, 1, -1, nil)
	}
	env.overload.mu.Unlock()
	return func() {
		for range n {
			env.requestLeftCore()
		}
	}
}

func TestOverloadQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
		releaseCore := env.occupyCore(1)
		late, inTime := env.connect(), env.connect()
		go write(late, lookRequest)
		time.Sleep(210 * time.Millisecond) // of the latency objective of 300 ms
		go write(inTime, smsRequest)
		time.Sleep(30 * time.Millisecond)
		synctest.Wait()
		assert.Empty(t, env.received, "both are queued")
		releaseCore()
		status, h, _, err := readResponse(late)
		assert.NoError(t, err)
		assert.Equal(t, 503, status)
		assert.Equal(t, "1.000", string(h.Get("Retry-After")))
		assert.False(t, h.Close, "a new connection would cost more than the response")
		status, _, _, err = readResponse(inTime)
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		go write(late, strings.Replace(lookRequest, "t1", "t9", 1))
		status, _, _, err = readResponse(late)
		assert.NoError(t, err)
		assert.Equal(t, 200, status, "the queue is empty")
		assert.Equal(t, 1, env.overload.Rejected)
		env.stopAndWait()
	})
}

// Guards against counting the time in which a client sends its head slowly against its deadline.
func TestSlowHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {noResponse}}, nil)
		c := env.connect()
		write(c, lookRequest[:30])
		time.Sleep(2 * time.Second)
		began := time.Now()
		go write(c, lookRequest[30:])
		status, _, _, err := readResponse(c)
		assert.NoError(t, err)
		assert.NotEqual(t, 200, status)
		assert.InDelta(t, 0.5, time.Since(began).Seconds(), 0.02, "the deadline counts from the last byte")
		synctest.Wait()
		assert.Len(t, env.received, 1)
		env.stopAndWait()
	})
}
