package admin

import (
	"fmt"
	"net"
	"strings"
	"time"

	"lockloom/internal/http1"
)

// Send sends a call to an admin endpoint and returns the status of the response, 2xx if the call was carried out, and
// its text. The timeout applies to connecting, and again to the request and its response.
func Send(addr string, call Call, timeout time.Duration) (status int, text string, err error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n\r\n", call.Method(), call.Path(), addr); err != nil {
		return 0, "", err
	}
	reader := http1.NewReader(conn)
	head, err := reader.Response()
	if err != nil {
		return 0, "", err
	}
	status = head.Status // copied, because the head is valid only until the next read
	body, err := reader.Body(head.Length, head.Chunked)
	return status, strings.TrimSpace(string(body)), err
}
