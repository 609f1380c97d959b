package loadgen

import (
	"net"
	"net/http"
	"strconv"

	"lockloom/balance"
	"lockloom/internal/http1"
)

const headCapacity = 512 // bytes allocated for a request's head

// connection is a client's connection to a proxy, with one request at a time.
type connection struct {
	nc     net.Conn
	reader *http1.Reader
	reused bool // it was idle, so the proxy may have closed it meanwhile
}

// response is a proxy's response to a request.
type response struct {
	status     int
	close      bool    // the connection must not be reused
	retryAfter float64 // from the Retry-After field, in seconds; 0: not given
	body       []byte
}

// roundTrip sends a request and reads its response. It returns a response together with an error if the response began
// and is incomplete.
func (c *connection) roundTrip(request []byte) (*response, error) {
	if _, err := c.nc.Write(request); err != nil {
		return nil, err
	}
	if err := c.reader.Wait(); err != nil {
		return nil, err
	}
	head, err := c.reader.Response()
	if err != nil {
		return &response{}, err
	}
	answer := &response{status: head.Status, close: head.Close}
	// Parsed before the body is read, which overwrites the head. A field that is not a number asks for no delay.
	answer.retryAfter, _ = strconv.ParseFloat(string(head.Get("Retry-After")), 64)
	answer.body, err = c.reader.Body(head.Length, head.Chunked)
	return answer, err
}

// appendRequest appends an HTTP/1.1 request whose deadline is wait seconds from now.
func (d *Driver) appendRequest(b []byte, r *request, wait float64) []byte {
	method := http.MethodPost
	if r.class.Idempotency == balance.Idempotent {
		method = http.MethodGet
	}
	b = append(b, method+" /"+r.class.Name...)
	if r.intent.Key > 0 {
		b = append(b, "?user="...)
		b = strconv.AppendUint(b, r.intent.Key, 10)
	}
	b = append(b, " HTTP/1.1\r\nHost: rehearsal\r\nX-Trace-Id: "...)
	b = strconv.AppendInt(b, int64(r.id), 10)
	if !d.PlainHTTP {
		b = append(b, "\r\nX-Qos: "+r.class.Name+"\r\nX-Expires-In: "...)
		b = http1.AppendSeconds(b, wait)
	}
	b = append(b, "\r\nX-Work: "...)
	b = strconv.AppendFloat(b, r.intent.Work, 'g', 8, 64)
	if r.class.Idempotency == balance.Keyed {
		b = append(b, "\r\nIdempotency-Key: k"...)
		b = strconv.AppendInt(b, int64(r.intent.Number), 10)
	}
	if tenant := d.tenant(r.intent); tenant != "" {
		b = append(b, "\r\nX-Customer: "+tenant...)
	}
	if r.retry && d.Clients.MarksRetries {
		b = append(b, "\r\nX-Second-Try: 1"...)
	}
	if method == http.MethodPost {
		b = append(b, "\r\nContent-Length: 0"...)
	}
	return append(b, "\r\n\r\n"...)
}

func (d *Driver) tenant(intent *Intent) string {
	if intent.Tenant < 0 || intent.Tenant >= len(d.Tenants) {
		return ""
	}
	return d.Tenants[intent.Tenant]
}
