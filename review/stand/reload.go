package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reload"] = playReload }

// operatorFile is a small operator file with two pools, blue and green; every request goes to one of them.
func operatorFile(door string, blue, green *backend, active string) string {
	return fmt.Sprintf(`
[[listener]]
address = %q

[[tariff]]
name = "sign"
due = 0.5
hard_stop = 2.0

[[pool]]
name = "blue"
servers = [%q]
room = 100

[[pool]]
name = "green"
servers = [%q]
room = 100

[[route]]
name = "signing"
under = "/sign"
pool = %q
`, door, blue.addr, green.addr, active)
}

// slowBody is the body of a client on a slow way: some kilobytes, a piece at a time.
type slowBody struct {
	pieces int
	pause  time.Duration
}

func (s *slowBody) Read(out []byte) (int, error) {
	if s.pieces == 0 {
		return 0, io.EOF
	}
	s.pieces--
	time.Sleep(s.pause)
	return copy(out, strings.Repeat("x", 1000)), nil
}

// playReload: the operator file is changed so that the route goes to another pool, while clients send their bodies.
// Each request must be answered by its deadline.
func playReload(b *bench) {
	const hardStop, slack, pieces, pause = 2 * time.Second, 500 * time.Millisecond, 10, 80 * time.Millisecond
	blue, green := b.startBackend("blue", usual(10*time.Millisecond)), b.startBackend("green", usual(10*time.Millisecond))
	agent := startAgent(freeAddr())
	listen, door := freeAddr(), freeAddr()
	config := b.launch("n0", listen, agent.addr, smallSettings(2500), agent.known(), smallLimits(192))
	file := filepath.Join(b.dir, "operator.toml")
	must(os.WriteFile(file, []byte(operatorFile(door, blue, green, "blue")), 0o644))
	proxy := b.start("n0", listen, agent.addr, config, "-operator "+file)
	b.awaitUp(listen)
	var wg sync.WaitGroup
	client := &http.Client{Timeout: 12 * time.Second}
	end := time.Now().Add(8 * time.Second)
	for range 8 {
		wg.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				request, err := http.NewRequest("POST", "http://"+door+"/sign/3", &slowBody{pieces, pause})
				must(err)
				request.ContentLength = pieces * 1000
				request.Header.Set("X-Trace-Id", id)
				b.logf("send %s", id)
				sent := time.Now()
				bodySent := sent.Add(pieces * pause)
				resp, err := client.Do(request)
				took := time.Since(sent)
				if err != nil {
					b.breach("%s had no answer %.3f s after its last byte: %v", id, time.Since(bodySent).Seconds(), err)
					continue
				}
				body, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				b.logf("answer %s: %d %q after %.3f s", id, resp.StatusCode, body, took.Seconds())
				if late := time.Since(bodySent); late > hardStop+slack {
					b.breach("%s was answered %.3f s after its last byte", id, late.Seconds())
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if b.trouble {
		must(os.WriteFile(file, []byte(operatorFile(door, blue, green, "green")), 0o644))
	}
	proxy.signal(syscall.SIGHUP)
	b.logf("SIGHUP")
	wg.Wait()
	b.logf("blue ran %d, green ran %d", blue.count.Load(), green.count.Load())
}
