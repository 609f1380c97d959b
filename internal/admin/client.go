package admin

import (
	"fmt"
	"net"
	"strings"
	"time"

	"lockloom/internal/http1"
)

// Send makes a call at an admin endpoint and returns the answer's status, 2xx if the call was carried out, and text.
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
	status = head.Status // the head is the reader's, and the body's bytes may come to stand in its place
	body, err := reader.Body(head.Length, head.Chunked)
	return status, strings.TrimSpace(string(body)), err
}
