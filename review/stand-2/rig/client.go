package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
	"unsafe"
)

// Request is a request of a client.
type Request struct {
	ID    string
	Class string
	Key   string        // Idempotency-Key; empty: none
	Get   bool          // GET; else POST
	Wait  time.Duration // how long the client waits, from the last byte
	Body  []byte
}

// Head returns the request's head.
func (r *Request) Head() string {
	method := "POST"
	if r.Get {
		method = "GET"
	}
	head := fmt.Sprintf("%s /%s?user=%s HTTP/1.1\r\nHost: backend.local\r\n", method, r.Class, r.ID)
	head += fmt.Sprintf("X-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %.3f\r\n", r.ID, r.Class, r.Wait.Seconds())
	if r.Key != "" {
		head += "Idempotency-Key: " + r.Key + "\r\n"
	}
	if !r.Get {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	return head + "\r\n"
}

// Client is a client's connection to a proxy. It sends one request at a time.
type Client struct {
	Conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a connection to a proxy.
func Dial(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Send writes a request and returns when its last byte was written.
func (c *Client) Send(r *Request) (time.Time, error) {
	if _, err := io.WriteString(c.Conn, r.Head()); err != nil {
		return time.Time{}, err
	}
	if len(r.Body) > 0 {
		if _, err := c.Conn.Write(r.Body); err != nil {
			return time.Time{}, err
		}
	}
	return time.Now(), nil
}

// Ask sends the request on a connection of its own and returns the status of the answer; 0: there is none.
func (r *Request) Ask(addr string) int {
	client, err := Dial(addr)
	if err != nil {
		return 0
	}
	defer client.Conn.Close()
	if _, err := client.Send(r); err != nil {
		return 0
	}
	status, _, _, err := client.Receive(time.Now().Add(2 * r.Wait))
	if err != nil {
		return 0
	}
	return status
}

// Receive reads an answer, and returns an error if it is not whole by a time.
func (c *Client) Receive(until time.Time) (status int, body string, closes bool, err error) {
	c.Conn.SetReadDeadline(until)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", true, err
	}
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), response.Close, err
}

// Get makes a call on a connection of its own and returns the status; 0: there is no answer.
func Get(addr, path string) int { return Call(addr, "GET", path) }

// Call makes a call on a connection of its own and returns the status; 0: there is no answer.
func Call(addr, method, path string) int {
	c, err := Dial(addr)
	if err != nil {
		return 0
	}
	defer c.Conn.Close()
	fmt.Fprintf(c.Conn, "%s %s HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n", method, path)
	status, _, _, err := c.Receive(time.Now().Add(2 * time.Second))
	if err != nil {
		return 0
	}
	return status
}

// Unacknowledged returns how many bytes written to a TCP socket its peer's machine has not acknowledged (SIOCOUTQ).
func Unacknowledged(fd uintptr) (bytes int32, errno syscall.Errno) {
	_, _, errno = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&bytes)))
	return bytes, errno
}
