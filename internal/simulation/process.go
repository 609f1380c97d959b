package simulation

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// killDelay is added to the time that a signaled proxy has to exit, the longest deadline and killMargin, before it is
// killed.
const killDelay = 2 * time.Second

// process is one process of a proxy. A proxy that is upgraded has two for a while.
type process struct {
	mu           sync.Mutex
	cmd          *exec.Cmd
	ended        chan struct{} // closed once the process has exited
	stopping     bool          // it was signaled to stop, so that its exit is no error
	adminAddr    string
	peakMemoryMB float64
	lastLogLine  string
}

// process returns the process of a proxy that was started last.
func (r *rig) process(i int) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[i]
}

// start starts a process of a proxy.
func (r *rig) start(ctx context.Context, i int) error {
	p := r.process(i)
	p.mu.Lock()
	defer p.mu.Unlock()
	name := "p" + strconv.Itoa(i+1)
	adminAddr := r.adminAddrs[i][0]
	if p.adminAddr == adminAddr {
		adminAddr = r.adminAddrs[i][1]
	}
	cmd, err := r.command(i, name, adminAddr)
	if err != nil {
		return err
	}
	logFile, err := r.openLog(name)
	if err != nil {
		return err
	}
	stderr, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		closeLog(logFile)
		return fmt.Errorf("proxy %d: %w", i+1, err)
	}
	p.cmd = cmd
	p.ended = make(chan struct{})
	p.stopping = false
	p.adminAddr = adminAddr
	go r.supervise(ctx, i, p, stderr, logFile)
	return nil
}

// command writes a proxy's launch file, and its operator file if it has one, and returns the command that starts it.
func (r *rig) command(i int, name, adminAddr string) (*exec.Cmd, error) {
	tempDir := filepath.Join(r.dir, name+".tmp")
	if err := os.MkdirAll(tempDir, 0o700); err != nil {
		return nil, err
	}
	agent := r.servers.Agent(i)
	r.mu.Lock()
	seed := r.options.Seed + uint64(r.starts)<<16 + uint64(i)
	r.starts++
	r.mu.Unlock()
	text, err := r.scenario.LaunchFile(name, r.proxyAddrs[i], agent.Addr(), seed, agent.List())
	if err != nil {
		return nil, err
	}
	launchFile := filepath.Join(r.dir, name+".json")
	if err := os.WriteFile(launchFile, text, 0o600); err != nil {
		return nil, err
	}
	args := []string{"serve"}
	if r.scenario.PlainHTTP() {
		operatorFile := filepath.Join(r.dir, name+".toml")
		if err := os.WriteFile(operatorFile, r.scenario.OperatorFile(r.clientAddrs[i]), 0o600); err != nil {
			return nil, err
		}
		args = append(args, "-operator", operatorFile)
	}
	cmd := exec.Command(r.options.Proxy, args...)
	cmd.Env = append(os.Environ(), Environment(name, r.proxyAddrs[i], agent.Addr(), launchFile)...)
	cmd.Env = append(cmd.Env, "ROUTER_OPERATOR="+adminAddr, "TMPDIR="+tempDir)
	// The proxy gets its own process group, so that Ctrl-C reaches only this program, which then stops the proxies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return cmd, nil
}

// openLog opens the file for a proxy's log. It returns nil if logs are discarded.
func (r *rig) openLog(name string) (*os.File, error) {
	if r.options.Logs == "" {
		return nil, nil
	}
	file := filepath.Join(r.options.Logs, name+".log")
	return os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
}

// closeLog closes a log file, which is nil if logs are discarded. Errors are ignored: they can only lose log lines, and
// no result depends on those.
func closeLog(file *os.File) {
	if file != nil {
		_ = file.Close()
	}
}

// supervise copies the log of a process until it exits, and fails the run if it was not signaled to stop.
func (r *rig) supervise(ctx context.Context, i int, p *process, stderr io.Reader, logFile *os.File) {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		p.mu.Lock()
		p.lastLogLine = lines.Text()
		p.mu.Unlock()
		if logFile != nil {
			fmt.Fprintln(logFile, lines.Text())
		}
	}
	closeLog(logFile)
	err := cmd.Wait()
	close(ended)
	p.mu.Lock()
	stopping := p.stopping
	p.mu.Unlock()
	if !stopping && ctx.Err() == nil {
		reason := fmt.Sprint(err) // <nil>: it exited with status 0
		r.fail(fmt.Errorf("proxy %d ended unexpectedly (%s): %s", i+1, reason, p.lastLog()))
	}
}

// lastLog returns the last line that the process logged.
func (p *process) lastLog() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastLogLine == "" {
		return "its log is empty"
	}
	return p.lastLogLine
}

// stop signals the newest process of a proxy, and waits until it has exited; see end.
func (r *rig) stop(i int, signal syscall.Signal) { r.end(r.process(i), signal) }

// end signals a process, and waits until it has exited. A process that does not exit in time is killed.
func (r *rig) end(p *process, signal syscall.Signal) {
	cmd, ended := p.signal(signal)
	if cmd == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(seconds(r.scenario.longestDeadline()+killMargin) + killDelay):
		_ = cmd.Process.Kill() // fails only if it has exited
		<-ended
	}
}

// signal marks a process as stopping and signals it. It returns a nil command if the process was never started.
func (p *process) signal(signal syscall.Signal) (cmd *exec.Cmd, ended chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
	if p.cmd == nil {
		return nil, nil
	}
	p.peakMemoryMB = max(p.peakMemoryMB, peakMemoryMB(p.cmd.Process.Pid))
	select {
	case <-p.ended:
	default:
		_ = p.cmd.Process.Signal(signal) // fails only if it has exited
	}
	return p.cmd, p.ended
}

func (r *rig) stopAll() {
	var stops sync.WaitGroup
	for i := range r.proxyAddrs {
		stops.Go(func() { r.stop(i, syscall.SIGTERM) })
	}
	stops.Wait()
}

// peakMemoryMB returns the peak resident memory of a process in MB; 0 if it cannot be read.
func peakMemoryMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, _ := strconv.ParseFloat(fields[1], 64) // 0 if it is not a number
			return kilobytes / 1024
		}
	}
	return 0
}
