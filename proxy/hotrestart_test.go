package proxy

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against handing over listeners by the address on which they listen ("[::]:8080" for ":8080"): the successor
// looks them up by the address in its operator file, does not find them, and their accept queues are lost.
func TestListenersAreHandedOverByConfiguredAddress(t *testing.T) {
	env := newEnv(t, nil, nil)
	ln, err := env.Listen(":0")
	assert.NoError(t, err)
	defer ln.Close()
	state, sockets := env.handOver()
	assert.Equal(t, []string{":0"}, state.Listeners)
	assert.Len(t, sockets.Listeners, 1)
}
