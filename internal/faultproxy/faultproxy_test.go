package faultproxy

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// echo gives back what it gets.
func echo(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	return ln.Addr().String()
}

func TestFaults(t *testing.T) {
	r, err := Open(echo(t))
	require.NoError(t, err)
	t.Cleanup(r.Close)
	text := strings.Repeat("x", 2000)
	ask := func(c net.Conn, wait time.Duration) (took time.Duration, err error) {
		began := time.Now()
		io.WriteString(c, text)
		c.SetReadDeadline(began.Add(wait))
		_, err = io.ReadFull(c, make([]byte, len(text)))
		return time.Since(began), err
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	c := dial()
	_, err = ask(c, 5*time.Second)
	assert.NoError(t, err)
	for _, f := range []Fault{{Delay: 50 * time.Millisecond}, {Pace: 20_000}} {
		r.Set(f)
		took, err := ask(c, 5*time.Second)
		assert.NoError(t, err)
		assert.Greater(t, took, 90*time.Millisecond, "%+v, both ways", f)
	}
	r.Set(Fault{Silent: true})
	_, err = ask(c, 100*time.Millisecond)
	assert.ErrorContains(t, err, "timeout")
	r.Set(Fault{})
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.ReadFull(c, make([]byte, len(text)))
	assert.NoError(t, err, "what was held back comes after all")
	r.Cut()
	_, err = ask(c, 5*time.Second)
	assert.Error(t, err)
	r.Set(Fault{Refuse: true})
	_, err = ask(dial(), 5*time.Second)
	assert.Error(t, err)
}
