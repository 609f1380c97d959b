package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/http1"
)

// uploadBody is longer than one buffer of an upload.
var uploadBody = strings.Repeat("0123456789abcdef", 3*streamBufferBytes/16)

// uploadExchange returns an exchange that sends upload, and the slice to which its results are appended.
func uploadExchange(upload *Upload) (*Exchange, *[]Result) {
	results := &[]Result{}
	ex := newExchange(time.Second, func(r Result) { *results = append(*results, r) })
	ex.Head = []byte("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n")
	if !upload.Chunked {
		ex.Head = http1.AppendContentLength([]byte("POST /a HTTP/1.1\r\n"), len(uploadBody))
	}
	ex.Upload = upload
	return ex, results
}

// sendUploadBody writes the whole body to an upload in pieces that a second reader could take one of.
func sendUploadBody(upload *Upload) {
	for body := uploadBody; len(body) > 0; body = body[streamBufferBytes/2:] {
		if _, err := io.WriteString(upload.In, body[:streamBufferBytes/2]); err != nil {
			return
		}
	}
	_ = upload.In.Close() // never fails
}

// serveUpload reads requests on the server's side of a connection, sends each body to received and answers it.
func serveUpload(serverConn net.Conn, received chan<- string) {
	reader := http1.NewReader(serverConn)
	reader.AllowLargeBodies = true
	for {
		head, err := reader.Request()
		if err != nil {
			return
		}
		body, err := io.ReadAll(reader.StreamBody(head.Length, head.Chunked))
		if err != nil {
			return
		}
		received <- string(body)
		respond(serverConn, okResponse)
	}
}

// Guards against two attempts that read one request body: each server receives a part of it as a whole request. Both
// attempts are ordered before either may send; then their connections become ready at the same time.
func TestUploadIsReadByOneAttempt(t *testing.T) {
	const readyAfter = 20 * time.Millisecond
	for _, c := range []struct {
		name   string
		reused bool // the first attempt waits for its idle connection, instead of for a new one to open
	}{{"both connections open slowly", false}, {"the first attempt waits to reuse its connection", true}} {
		for _, chunked := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPool()
				received := make(chan string, 10)
				openAfter := time.Duration(0)
				p.dial = func(context.Context, string) (net.Conn, error) {
					time.Sleep(openAfter)
					clientConn, serverConn := net.Pipe()
					go serveUpload(serverConn, received)
					return clientConn, nil
				}
				if c.reused {
					p.attempt(0)
					p.runUntilIdle()
					require.Empty(t, <-received)
					p.ReuseDelay = readyAfter
					p.servers[0].responseTime = time.Second
				}
				openAfter = readyAfter
				upload := NewUpload(chunked)
				first, firstResults := uploadExchange(upload)
				second, secondResults := uploadExchange(upload)
				require.True(t, p.Send(0, first))
				require.True(t, p.Send(1, second))
				go sendUploadBody(upload)
				time.Sleep(2 * readyAfter)
				p.runUntilIdle()
				time.Sleep(time.Second)
				p.runUntilIdle()
				if assert.Len(t, received, 1, "%s: bodies that a server took for a whole request", c.name) {
					assert.True(t, <-received == uploadBody, "%s: the body is the one that was sent", c.name)
				}
				results := append(*firstResults, *secondResults...)
				if assert.Len(t, results, 2) {
					outcomes := []balance.Outcome{results[0].Outcome, results[1].Outcome}
					assert.ElementsMatch(t, []balance.Outcome{balance.Succeeded, balance.NotSent}, outcomes, c.name)
				}
				p.Close()
				p.runUntilIdle()
			})
		}
	}
}

// Checks that an attempt whose connection ends before it has sent anything leaves the body to another attempt, and that
// its late end does not stop the other one.
func TestUploadIsTakenOverFromAnAttemptThatSentNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool()
		received := make(chan string, 1)
		upload := NewUpload(true)
		first, firstResults := uploadExchange(upload)
		require.True(t, p.Send(0, first))
		(<-p.serverConns).Close()
		synctest.Wait()
		second, secondResults := uploadExchange(upload)
		require.True(t, p.Send(1, second))
		go serveUpload(<-p.serverConns, received)
		go sendUploadBody(upload)
		synctest.Wait()
		first.awaitWriteDone() // of the attempt that does not have the body
		p.runUntilIdle()
		if assert.Len(t, *firstResults, 1) {
			assert.True(t, (*firstResults)[0].Outcome.NeverRan())
		}
		if assert.Len(t, *secondResults, 1) {
			assert.Equal(t, balance.Succeeded, (*secondResults)[0].Outcome)
			assert.True(t, <-received == uploadBody, "the body is the one that was sent")
		}
		p.Close()
		p.runUntilIdle()
	})
}

// Guards against an attempt that stops the body for all others although it has read nothing of it: its connection ends
// while it is about to write, so its end is noticed before its failed write.
func TestUploadIsNotStoppedByAnAttemptThatHasReadNothing(t *testing.T) {
	upload, first, second := NewUpload(true), &Exchange{}, &Exchange{}
	require.True(t, upload.claim(first))
	upload.exchangeEnded(first)
	assert.False(t, upload.beginReading(), "an exchange that has ended does not begin to read the body")
	assert.False(t, upload.claim(second), "the first exchange may still be writing")
	upload.release(first)
	require.True(t, upload.claim(second))
	require.True(t, upload.beginReading())
	upload.exchangeEnded(first)
	upload.release(second)
	assert.True(t, upload.Claimed(), "a body that was read from can't be sent again")
	go io.WriteString(upload.In, "abc") //nolint:errcheck // the read below shows that it was written
	_, err := io.ReadFull(upload.out, make([]byte, 3))
	assert.NoError(t, err)
	upload.exchangeEnded(second)
	_, err = upload.In.Write([]byte("x"))
	assert.ErrorIs(t, err, ErrUploadStopped)
}

// Guards against a server that stops reading a body and so keeps its request, and against cutting an upload that makes
// progress: the limit for sending holds only where the server accepts nothing more.
func TestUploadIsLimitedWhereItsServerStopsReading(t *testing.T) {
	const sentBy, respondedBy = 300 * time.Millisecond, 600 * time.Millisecond
	for name, c := range map[string]struct {
		readFor time.Duration // how long the server reads, at a pace that takes the whole body 480 ms
		outcome balance.Outcome
		endedAt time.Duration
	}{
		"reads nothing": {0, balance.ConnectFailed, sentBy},
		"stops":         {150 * time.Millisecond, balance.ConnectFailed, sentBy},
		"stops late":    {sentBy, balance.ConnectFailed, respondedBy},
		"reads slowly":  {time.Second, balance.Succeeded, 480 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newTestPool()
			upload := NewUpload(false)
			ex, results := uploadExchange(upload)
			ex.ResponseTimeout = time.Minute
			began := time.Now()
			require.True(t, p.Send(0, ex))
			go sendUploadBody(upload)
			serverConn := <-p.serverConns
			readRequest(t, serverConn)
			go func() {
				const pause = 10 * time.Millisecond
				for rest := len(uploadBody); rest > 0 && time.Since(began) < c.readFor; {
					time.Sleep(pause)
					n, _ := io.ReadFull(serverConn, make([]byte, min(rest, len(uploadBody)/48)))
					rest -= n
				}
				if time.Since(began) < c.readFor {
					respond(serverConn, okResponse)
				}
			}()
			p.LimitUpload(ex, UploadLimits{SentBy: began.Add(sentBy), RespondedBy: began.Add(respondedBy)})
			time.Sleep(time.Second)
			p.runUntilIdle()
			if assert.Len(t, *results, 1, name) {
				assert.Equal(t, c.outcome, (*results)[0].Outcome, name)
				assert.InDelta(t, c.endedAt.Seconds(), (*results)[0].EndedAt.Sub(began).Seconds(), 0.02, name)
			}
			p.Close()
			p.runUntilIdle()
		})
	}
}

// Guards against counting against a server that its client stops half way through a body: a few such clients would make
// the proxy eject servers that serve everybody else.
func TestBodyThatItsClientBreaksOffIsNotItsServersFault(t *testing.T) {
	for _, c := range []struct {
		name        string
		passthrough bool
		breakOff    func(upload *Upload, serverConn net.Conn)
		outcome     balance.Outcome
	}{
		{"client stops", false, func(u *Upload, _ net.Conn) { u.In.CloseWithError(io.ErrUnexpectedEOF) }, balance.NotSent},
		{"client stops, another kind of server", true,
			func(u *Upload, _ net.Conn) { u.In.CloseWithError(io.ErrUnexpectedEOF) }, balance.Canceled},
		{"server closes", false, func(_ *Upload, conn net.Conn) { conn.Close() }, balance.ConnectFailed},
		{"another kind of server closes", true, func(_ *Upload, conn net.Conn) { conn.Close() }, balance.ConnectionLost},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newTestPool()
			upload := NewUpload(true)
			ex, results := uploadExchange(upload)
			ex.Passthrough = c.passthrough
			require.True(t, p.Send(0, ex))
			serverConn := <-p.serverConns
			go func() {
				_, _ = io.Copy(io.Discard, serverConn) // until either side closes the connection
				serverConn.Close()
			}()
			_, err := io.WriteString(upload.In, "half of the body")
			require.NoError(t, err)
			synctest.Wait()
			c.breakOff(upload, serverConn)
			synctest.Wait()
			p.runUntilIdle()
			if assert.Len(t, *results, 1, c.name) {
				assert.Equal(t, c.outcome, (*results)[0].Outcome, c.name)
			}
			p.Close()
			p.runUntilIdle()
		})
	}
}
