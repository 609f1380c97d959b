package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"lockloom/internal/discovery/notification"
	"lockloom/internal/http1"
	"lockloom/internal/recvtime"
)

const (
	dialTimeout  = time.Second // for connecting to an agent on the same machine
	maxListBytes = 4 << 20     // size of a list in JSON, enough for about ten thousand endpoints
)

// call is one request for the endpoint list and the stream of events that follows it, on its own goroutine. It sends
// the events to the watch; the last one reports the end of the call.
type call struct {
	stop    context.CancelFunc
	watch   *Watch // only its Addr and Dial may be used: the other fields belong to the goroutine of Watch.Run
	version int64  // of the list to continue from
	events  chan<- event
}

// run makes the call and sends its events to c.events, and last the reason why it ended. It stops if the context ends.
func (c *call) run(ctx context.Context) {
	deliver := func(e event) {
		e.from = c
		select {
		case c.events <- e:
		case <-ctx.Done():
		}
	}
	result, err := c.follow(ctx, deliver)
	deliver(event{err: err, result: result})
}

// follow connects, requests the list and delivers the events received. It returns how and why the call ended.
func (c *call) follow(ctx context.Context, deliver func(event)) (notification.CallResult, error) {
	conn, err := c.dial(ctx)
	if err != nil {
		return notification.Unavailable, err
	}
	defer conn.Close()
	closeWithContext := context.AfterFunc(ctx, func() { conn.Close() })
	defer closeWithContext()
	conn.SetDeadline(time.Now().Add(toDuration(notification.ResponseTimeout)))
	request := fmt.Appendf(nil, "GET /discovery/hosts?stream=1&index=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		c.version, c.watch.Addr)
	if _, err := conn.Write(request); err != nil {
		return notification.Unavailable, err
	}
	source := recvtime.NewReader(conn)
	response := http1.NewReader(source)
	head, err := response.Response()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return notification.NoResponse, err
	case err != nil:
		return notification.Unavailable, err
	case head.Status != 200 || !head.Chunked:
		return notification.Rejected, fmt.Errorf("no chunked 200 response from discovery: status %d", head.Status)
	}
	objects := &objectReader{source: response.UnlimitedChunkedBody(), conn: conn}
	return notification.Broken, readLists(objects, receiveTime(source), deliver)
}

func (c *call) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return c.watch.Dial(ctx, c.watch.Addr)
}

// readLists delivers the lists and heartbeats of a stream, and returns why the stream ended. A malformed list ends the
// stream; the list received before it remains in use.
func readLists(objects *objectReader, receivedAt func() time.Time, deliver func(event)) error {
	objects.onHeartbeat = func() { deliver(event{receivedAt: receivedAt()}) }
	scanner := bufio.NewScanner(objects)
	scanner.Buffer(nil, maxListBytes)
	scanner.Split(objects.split)
	for scanner.Scan() {
		var list List
		if err := json.Unmarshal(scanner.Bytes(), &list); err != nil {
			return fmt.Errorf("malformed list: %w", err)
		}
		deliver(event{receivedAt: receivedAt(), list: &list})
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return errors.New("stream ended by discovery")
}

// receiveTime returns a function that returns when the system received the bytes that were read last, since an
// overloaded process may read them much later. If the system did not report it, the function returns the current time.
func receiveTime(source *recvtime.Reader) func() time.Time {
	return func() time.Time {
		if at := source.Received(); !at.IsZero() {
			return at
		}
		return time.Now()
	}
}
