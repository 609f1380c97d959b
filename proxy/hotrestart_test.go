package proxy

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A successor asks for an address as its operator file has it; an accept queue that it does not find would be lost.
func TestListenersAreHandedOverByConfiguredAddress(t *testing.T) {
	env := newEnv(t, nil, nil)
	ln, err := env.Listen(":0")
	assert.NoError(t, err)
	defer ln.Close()
	s, lns := env.handOver()
	assert.Equal(t, []string{":0"}, s.Listeners)
	assert.Len(t, lns, 1)
}
