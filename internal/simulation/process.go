package simulation

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one proxy's program.
type process struct {
	mu           sync.Mutex
	cmd          *exec.Cmd
	ended        chan struct{}
	stopping     bool   // it was told to
	adminAddr    string // the operators'
	peakMemoryMB float64
	lastLogLine  string // line of its log
}

// start starts a proxy's program anew.
func (st *rig) start(i int) error {
	p := st.proxy(i)
	p.mu.Lock()
	defer p.mu.Unlock()
	name, agent := "p"+strconv.Itoa(i+1), st.servers.Agent(i)
	door, own := st.adminAddrs[i][0], filepath.Join(st.dir, name+".tmp")
	if p.adminAddr == door { // danger: two processes of one proxy never share a door
		door = st.adminAddrs[i][1]
	}
	if err := os.MkdirAll(own, 0o700); err != nil {
		return err
	}
	text, err := st.scenario.Launch(
		name,
		st.proxyAddrs[i],
		agent.Addr(),
		st.options.Seed+uint64(st.starts)<<16+uint64(i),
		agent.List(),
	)
	if err != nil {
		return err
	}
	st.starts++
	file := filepath.Join(st.dir, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	args := []string{"serve"}
	if st.scenario.PlainHTTP() {
		operator := filepath.Join(st.dir, name+".toml")
		if err := os.WriteFile(operator, st.scenario.Operator(st.clientAddrs[i]), 0o600); err != nil {
			return err
		}
		args = append(args, "-operator", operator)
	}
	cmd := exec.Command(st.options.Proxy, args...)
	cmd.Env = append(os.Environ(), Variables(name, st.proxyAddrs[i], agent.Addr(), file)...)
	cmd.Env = append(cmd.Env, "ROUTER_OPERATOR="+door, "TMPDIR="+own)
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Setpgid:   true,
		Pdeathsig: syscall.SIGKILL,
	} // Ctrl-C is for this program, which ends it
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("proxy %d: %w", i+1, err)
	}
	var out *os.File
	if st.options.Logs != "" {
		if out, err = os.OpenFile(filepath.Join(st.options.Logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			cmd.Process.Kill()
			cmd.Wait()
			return err
		}
	}
	p.cmd, p.ended, p.stopping, p.adminAddr = cmd, make(chan struct{}), false, door
	ended := p.ended
	go func() {
		lines := bufio.NewScanner(log)
		for lines.Scan() {
			p.mu.Lock()
			p.lastLogLine = lines.Text()
			p.mu.Unlock()
			if out != nil {
				fmt.Fprintln(out, lines.Text())
			}
		}
		if out != nil {
			out.Close()
		}
		err := cmd.Wait()
		close(ended)
		p.mu.Lock()
		ending := p.stopping
		p.mu.Unlock()
		if !ending && st.ctx.Err() == nil {
			st.fail(fmt.Errorf("proxy %d ended by itself (%v): %s", i+1, err, p.lastLog()))
		}
	}()
	return nil
}

func (p *process) lastLog() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastLogLine == "" {
		return "its log is empty"
	}
	return p.lastLogLine
}

// clientLeaves signals a proxy and waits until it has ended; one that does not end in time is killed.
func (st *rig) stop(i int, signal syscall.Signal) { st.end(st.proxy(i), signal) }

func (st *rig) end(p *process, signal syscall.Signal) {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.stopping = true
	if cmd != nil {
		p.peakMemoryMB = max(p.peakMemoryMB, peakMemoryMB(cmd.Process.Pid))
		select {
		case <-ended:
		default:
			cmd.Process.Signal(signal)
		}
	}
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(seconds(st.scenario.longestDeadline()+killMargin) + killDelay):
		cmd.Process.Kill()
		<-ended
	}
}

func (st *rig) stopAll() {
	var work sync.WaitGroup
	for i := range st.proxyAddrs {
		work.Go(func() { st.stop(i, syscall.SIGTERM) })
	}
	work.Wait()
}

// peakMemoryMB is the most memory that a program has used, in MB; 0: not known.
func peakMemoryMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmHWM:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb / 1024
		}
	}
	return 0
}
