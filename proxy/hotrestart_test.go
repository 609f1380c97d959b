package proxy

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a successor that does not find a handed over listener, and so loses its accept queue, because it looks
// it up by the address in its operator file.
func TestListenersAreHandedOverByConfiguredAddress(t *testing.T) {
	env := newEnv(t, nil, nil)
	ln, err := env.Listen(":0")
	assert.NoError(t, err)
	defer ln.Close()
	state, listeners := env.handOver()
	assert.Equal(t, []string{":0"}, state.Listeners)
	assert.Len(t, listeners, 1)
}
