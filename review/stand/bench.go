package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bench holds what a case needs: a temporary folder, the record and the started processes.
type bench struct {
	root    string // the repository
	runLine string // the deploy file's run command
	dir     string // temporary folder
	begin   time.Time
	trouble bool

	mu     sync.Mutex
	record *os.File
	procs  []*process
	broken int
}

// newBench reads the deploy file and opens the record of a case.
func newBench(caseDir string) *bench {
	root, err := filepath.Abs(filepath.Join(caseDir, "..", ".."))
	must(err)
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	must(err)
	b := &bench{root: root, begin: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			b.runLine, _, _ = strings.Cut(rest, `"`)
		}
	}
	if b.runLine == "" {
		cannotRun("no run line in the deploy file")
	}
	b.record, err = os.Create(filepath.Join(caseDir, "record.txt"))
	must(err)
	b.dir, err = os.MkdirTemp("", "review")
	must(err)
	b.logf("trouble=%v", b.trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		b.giveUp("stopped")
	}()
	return b
}

// logf writes a line with the time since the start to the record.
func (b *bench) logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.begin).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (b *bench) breach(format string, args ...any) {
	b.logf("BROKEN: "+format, args...)
	b.mu.Lock()
	b.broken++
	b.mu.Unlock()
}

// finish ends all processes and exits with the verdict.
func (b *bench) finish() {
	b.copyLogs()
	b.endAll()
	b.mu.Lock()
	broken := b.broken
	b.mu.Unlock()
	b.logf("rule broken %d times", broken)
	b.record.Close()
	fmt.Printf("rule broken %d times; see record.txt\n", broken)
	if broken > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

// giveUp ends all processes and exits with 2.
func (b *bench) giveUp(format string, args ...any) {
	b.copyLogs()
	b.logf("CANNOT RUN: "+format, args...)
	b.endAll()
	cannotRun(fmt.Sprintf(format, args...))
}

func (b *bench) endAll() {
	for _, p := range b.procs {
		p.kill()
	}
	os.RemoveAll(b.dir)
}

func cannotRun(text string) {
	fmt.Fprintln(os.Stderr, "cannot run:", text)
	os.Exit(2)
}

func must(err error) {
	if err != nil {
		cannotRun(err.Error())
	}
}

// freeAddr returns a loopback address with a free port.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// process is one proxy process, in a process group of its own.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	log   string
}

type object = map[string]any

// launch writes a launch file and returns its path.
func (b *bench) launch(name, listen, discovery string, settings object, known object, limits object) string {
	text, err := json.Marshal(object{"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": limits, "known": known, "settings": settings})
	must(err)
	path := filepath.Join(b.dir, name+".json")
	must(os.WriteFile(path, text, 0o644))
	return path
}

// start runs the deploy file's run line, with more arguments, as the platform does.
func (b *bench) start(name, listen, discovery, config, extraArgs string) *process {
	tmp := filepath.Join(b.dir, fmt.Sprint("tmp", len(b.procs)))
	must(os.MkdirAll(tmp, 0o755))
	p := &process{cmd: exec.Command("/bin/sh", "-c", b.runLine+" "+extraArgs), ended: make(chan struct{})}
	p.cmd.Dir = b.root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "ROUTER_NAME=" + name, "ROUTER_LISTEN=" + listen,
		"ROUTER_DISCOVERY=" + discovery, "ROUTER_CONFIG=" + config, "TMPDIR=" + tmp}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.log = filepath.Join(b.dir, fmt.Sprintf("log%d", len(b.procs)))
	out, err := os.Create(p.log)
	must(err)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	must(p.cmd.Start())
	b.procs = append(b.procs, p)
	go func() {
		err := p.cmd.Wait()
		b.logf("process %d (%s) ended: %v", p.cmd.Process.Pid, name, err)
		close(p.ended)
	}()
	b.logf("process %d started: %s %s", p.cmd.Process.Pid, name, extraArgs)
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	select {
	case <-p.ended:
	case <-time.After(5 * time.Second):
	}
}

// awaitUp waits until the proxy says that it is up.
func (b *bench) awaitUp(listen string) {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if resp, err := client.Get("http://" + listen + "/up"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		}
	}
	b.giveUp("the proxy is not up")
}

// copyLogs appends the processes' logs to the record.
func (b *bench) copyLogs() {
	for _, p := range b.procs {
		text, _ := os.ReadFile(p.log)
		for line := range strings.Lines(string(text)) {
			if !strings.Contains(line, "msg=counts") {
				b.logf("log of %d: %s", p.cmd.Process.Pid, strings.TrimSpace(line))
			}
		}
	}
}
