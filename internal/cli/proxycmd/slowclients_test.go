package proxycmd

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"lockloom/internal/http1"
)

const (
	slowReadBytes = 4 << 10
	slowReadPause = 20 * time.Millisecond
)

// largeUploadHead returns the largest head for a body of 4 MB, which the server reads to its end before it answers.
func largeUploadHead(id string) []byte {
	head := largestHead(id, fmt.Sprintf("Content-Length: %d\r\n", 4<<20))
	return bytes.Replace(head, []byte("/write "), []byte("/write?read "), 1)
}

var slowClients = []hostileClient{
	{name: "requests written slowly", act: func(conn net.Conn, id string) {
		request := largeUploadHead(id)
		for len(request) > 0 && send(conn, request[:min(len(request), 500)]) {
			request = request[min(len(request), 500):]
			time.Sleep(10 * time.Millisecond)
		}
		drain(conn)
	}},
	{name: "requests of 4 MB that stop half way", act: func(conn net.Conn, id string) {
		send(conn, largeUploadHead(id), make([]byte, 2<<20))
		drain(conn)
	}},
	{name: "requests of 4 MB with small heads that stop half way", act: func(conn net.Conn, id string) {
		head := "POST /write?read HTTP/1.1\r\nHost: x\r\nX-Qos: write\r\nX-Trace-Id: " + id + "\r\nX-Expires-In: 1\r\n" +
			fmt.Sprintf("Content-Length: %d\r\n\r\n", 4<<20)
		send(conn, []byte(head), make([]byte, 2<<20))
		drain(conn)
	}},
	{name: "ids of 60 kB", act: func(conn net.Conn, id string) {
		go drain(conn)
		long := id + strings.Repeat("i", 60_000)
		for n := 0; send(conn, fmt.Appendf(nil, "POST /write?slow HTTP/1.1\r\nHost: x\r\nX-Qos: write\r\n"+
			"X-Trace-Id: %s%d\r\nX-Expires-In: 0.9\r\nContent-Length: 0\r\n\r\n", long, n)); n++ {
		}
	}, overloads: true},
	{name: "heads of many short fields", act: func(conn net.Conn, id string) {
		head := "GET /look HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\nX-Trace-Id: " + id + "\r\nX-Expires-In: 1\r\n"
		send(conn, []byte(head), []byte(strings.Repeat("a:\r\n", (http1.DefaultMaxBytes-len(head)-10)/4)))
		drain(conn)
	}},
	{name: "many short fields without end", act: func(conn net.Conn, id string) {
		for send(conn, []byte("GET /look HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 100))) {
			time.Sleep(slowReadPause)
		}
	}},
	{name: "large responses read slowly", act: func(conn net.Conn, id string) {
		send(conn, []byte(lookRequest(id, "?large")))
		buffer := make([]byte, slowReadBytes)
		for {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
			time.Sleep(slowReadPause)
		}
	}},
}

// Guards against a process that passes its memory limit, or serves nobody else, while hundreds of clients write or read
// slowly.
func TestSlowClientsLeaveRoomForOthers(t *testing.T) {
	for _, hostile := range slowClients {
		testMemoryLimit(t, hostile, 32, 1024)
	}
}
