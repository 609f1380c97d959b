package socket

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPeekReaderConsumesNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	for _, size := range []int{0, 1, peekWindowBytes - 1, peekWindowBytes, peekWindowBytes + 1, 2*peekWindowBytes + 7} {
		theirs, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer theirs.Close()
		ours, err := listener.Accept()
		require.NoError(t, err)
		defer ours.Close()
		require.NoError(t, ours.(*net.TCPConn).SetReadBuffer(1<<20)) // holds all that is sent
		sent := make([]byte, size)
		for i := range sent {
			sent[i] = byte(i % 251) // differs at each multiple of the window
		}
		_, err = theirs.Write(sent)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return UnreadBytes(ours) == size }, 5*time.Second, time.Millisecond)
		var reader PeekReader
		for range 2 {
			reader.Reset(ours)
			peeked, err := io.ReadAll(&reader)
			require.NoError(t, err)
			assert.True(t, bytes.Equal(sent, peeked), "size %d", size)
		}
		received := make([]byte, size)
		_, err = io.ReadFull(ours, received)
		require.NoError(t, err)
		assert.True(t, bytes.Equal(sent, received), "size %d: the bytes are still there", size)
	}
}

func TestPeekReaderWithoutASocketIsEmpty(t *testing.T) {
	var reader PeekReader
	_, err := reader.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	ours, _ := net.Pipe()
	reader.Reset(ours)
	_, err = reader.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
