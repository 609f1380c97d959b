package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

// memoryOf returns the anonymous and the whole resident memory of a process in KiB; 0 if it has ended.
func memoryOf(pid int) (anonymous, resident int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		n, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "RssAnon:":
			anonymous = n
		case "VmRSS:":
			resident = n
		}
	}
	return anonymous, resident
}

// sendHalves sends one half of a request after the other, each on a new connection, and reads what comes back.
func (b *bench) sendHalves(listen string, end time.Time, sent *atomic.Int64, answered *statuses) {
	const headBytes, bodyBytes, missing = 64_000, 65_536, 36
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", listen, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		conn.SetDeadline(time.Now().Add(3 * time.Second))
		head := fmt.Sprintf("POST /sms HTTP/1.1\r\nHost: %s\r\nX-Trace-Id: %s\r\nX-Qos: sms\r\nX-Expires-In: 1.200\r\n"+
			"Content-Length: %d\r\nX-Props: ", listen, newID(), bodyBytes)
		text := head + strings.Repeat("a", headBytes-len(head)) + "\r\n\r\n" + strings.Repeat("b", bodyBytes-missing)
		if _, err := io.WriteString(conn, text); err == nil {
			sent.Add(1)
		}
		answer, _ := io.ReadAll(conn)
		if len(answer) > 12 {
			if status, err := strconv.Atoi(string(answer[9:12])); err == nil {
				answered.add(status)
			}
		}
		conn.Close()
	}
}

// playMemory: bad clients send halves of requests; the proxy must stay under the memory limit that its configuration
// names. Where it doesn't, this platform kills it.
func playMemory(b *bench) {
	const limitMB, sockets = 64, 1024
	bad := sockets/3 - 21 // clients hold a third of the descriptors at most for requests; 20 of these are the usual ones
	var entries []*entry
	for i := range 3 {
		entries = append(entries, b.startBackend(fmt.Sprint("s", i+1), usual(10*time.Millisecond)).entry(0))
	}
	agent := startAgent(freeAddr(), entries...)
	listen := freeAddr()
	config := b.launch("n0", listen, agent.addr, smallSettings(2500), agent.known(), smallLimits(limitMB))
	proxy := b.start("n0", listen, agent.addr, config, "")
	b.awaitUp(listen)
	begin := time.Now()
	end := begin.Add(25 * time.Second)
	var killed atomic.Bool
	var open, lost, halves atomic.Int64
	var usualAnswers, badAnswers statuses
	var wg sync.WaitGroup
	for range 20 { // the usual clients
		wg.Go(func() {
			c := caller{addr: listen}
			defer c.close()
			for time.Now().Before(end) && !killed.Load() {
				time.Sleep(time.Duration(rand.ExpFloat64() * 0.2 * 1e9))
				id := newID()
				b.logf("send %s", id)
				r := request{class: "view", method: "GET", wait: time.Second}
				open.Add(1)
				status, body, err := c.send(r.text(id, listen), time.Now().Add(time.Second))
				open.Add(-1)
				b.logf("answer %s: %d %v", id, status, err)
				if killed.Load() && err != nil {
					lost.Add(1)
				}
				if status == 200 && err == nil && body != answerTo(id) {
					b.breach("foreign answer to %s", id)
				}
				usualAnswers.add(status)
			}
		})
	}
	if b.trouble {
		time.Sleep(3 * time.Second)
		b.logf("%d bad clients begin", bad)
		for range bad {
			wg.Go(func() { b.sendHalves(listen, end, &halves, &badAnswers) })
		}
	}
	most, mostResident, lastLine := 0, 0, time.Now()
	for time.Now().Before(end) && !killed.Load() {
		anonymous, resident := memoryOf(proxy.cmd.Process.Pid)
		most, mostResident = max(most, anonymous), max(mostResident, resident)
		if time.Since(lastLine) > 500*time.Millisecond {
			lastLine = time.Now()
			b.logf("memory of the proxy: %d KiB anonymous, %d KiB resident; limit %d KiB", anonymous, resident, limitMB<<10)
		}
		select {
		case <-proxy.ended:
			b.breach("the proxy has ended by itself")
			killed.Store(true)
		default:
		}
		if anonymous > limitMB<<10 {
			b.breach("the proxy is killed: %d KiB anonymous memory, %d KiB resident, limit %d KiB; %d usual requests were open",
				anonymous, resident, limitMB<<10, open.Load())
			killed.Store(true)
			proxy.signal(syscall.SIGKILL)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if killed.Load() {
		time.Sleep(time.Second)
	} else {
		wg.Wait()
	}
	b.logf("most memory: %d KiB anonymous, %d KiB resident; limit %d KiB", most, mostResident, limitMB<<10)
	b.logf("%d halves sent; %d usual requests lost at the kill", halves.Load(), lost.Load())
	usualAnswers.log(b, "usual clients'")
	badAnswers.log(b, "bad clients'")
}
