package proxy

import (
	"sync"
	"time"
)

// uploadCheckInterval is the interval at which a streamed body is checked for its last byte while its server does not
// accept what was read before.
const uploadCheckInterval = 20 * time.Millisecond

// streamedBody reads a body that is forwarded by a goroutine of its own. While that goroutine waits for the server to
// accept bytes, the connection's goroutine may check what was not read yet.
type streamedBody struct {
	*pacedBodyReader
	mu sync.Mutex // held during each read
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pacedBodyReader.Read(p)
}

// arrival checks the rest of the body, which was not read yet. During a read, which either waits for the client or
// returns soon, it counts as incomplete.
func (b *streamedBody) arrival(rest *unreceivedRest) arrival {
	if !b.mu.TryLock() {
		return arrivalIncomplete
	}
	defer b.mu.Unlock()
	return rest.arrival(b.received)
}

// uploadWatch determines when the last byte of a streamed body was received, from which the client's time counts, while
// the body waits for its server. It belongs to the connection's goroutine.
type uploadWatch struct {
	req          *request
	rest         *unreceivedRest
	incompleteAt time.Time // the last time at which a part of the body had not been received
	ended        bool      // the last byte was received, or the body is not streamed any more
}

// newUploadWatch returns the watch of a request's body; it has ended if the body is not streamed.
func newUploadWatch(req *request) uploadWatch {
	body := req.stream.reader
	if body == nil {
		return uploadWatch{ended: true}
	}
	return uploadWatch{req: req, rest: newUnreceivedRest(req.client, body.source), incompleteAt: time.Now()}
}

// check reports to the owner if the last byte was received, and returns the time until the next check of the
// connection.
func (w *uploadWatch) check() time.Duration {
	if w.ended {
		return clientCheckInterval
	}
	now := time.Now()
	switch w.req.stream.reader.arrival(w.rest) {
	case arrivalUnknown:
	case arrivalIncomplete:
		w.incompleteAt = now
	case arrivalComplete:
		w.ended = true
		p, req, receivedAt := w.req.client.proxy, w.req, w.incompleteAt
		p.post(func() { p.uploadBlocked(req, receivedAt) })
	}
	return uploadCheckInterval
}
