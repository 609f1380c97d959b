package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// readyWithin is how long the platform waits for a proxy to be ready.
const readyWithin = 30 * time.Second

// Object is a JSON object.
type Object = map[string]any

// Launch is what the platform tells a proxy at its start.
type Launch struct {
	Name      string
	Discovery *Discovery
	Settings  Object
	MemoryMB  int
	Sockets   int
	Admin     bool   // the proxy gets an address for operators
	Peers     Object // of the launch file; nil: there are none
	Beside    *Proxy // an upgrade: the process starts beside this one, with its address and TMPDIR; nil: it does not
}

// Proxy is a proxy that the deploy file's run line has started, in a process of its own.
type Proxy struct {
	Name   string
	Addr   string
	Admin  string // the address for operators, if there is one
	Folder string
	log    string
	cmd    *exec.Cmd
	ended  chan struct{}
}

var (
	proxiesMu sync.Mutex
	proxies   []*Proxy
	folders   []string
)

// TempFolder makes a folder that is removed at the end of the case.
func TempFolder() string {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		Fatal("temporary folder: %v", err)
	}
	proxiesMu.Lock()
	defer proxiesMu.Unlock()
	folders = append(folders, folder)
	return folder
}

// FreeAddr returns a free address in 127.0.0.0/8.
func FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fatal("free port: %v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// RunLine returns the run line of the deploy file.
func RunLine() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		Fatal("deploy file: %v", err)
	}
	for text := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(text, `run = "`); ok {
			line, _, _ := strings.Cut(rest, `"`)
			return line
		}
	}
	Fatal("deploy file: no run line")
	return ""
}

// StartProxy starts a proxy as the platform does and waits until it is ready.
func StartProxy(record *Record, launch Launch) *Proxy {
	p := Start(launch)
	if !p.AwaitReady(readyWithin) {
		Fatal("the proxy is not ready: %s", p.Log())
	}
	record.Line("proxy %s is ready at %s", p.Name, p.Addr)
	return p
}

// AwaitReady waits until the proxy is ready, and reports whether it is within a time.
func (p *Proxy) AwaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); !p.ready(); time.Sleep(20 * time.Millisecond) {
		if !p.Alive() || time.Now().After(end) {
			return false
		}
	}
	return true
}

// Start starts a proxy as the platform does.
func Start(launch Launch) *Proxy {
	p := &Proxy{Name: launch.Name, ended: make(chan struct{})}
	if old := launch.Beside; old != nil {
		p.Addr, p.Folder = old.Addr, old.Folder
	} else {
		p.Addr, p.Folder = FreeAddr(), TempFolder()
	}
	config := filepath.Join(TempFolder(), "launch.json")
	file := Object{
		"name": launch.Name, "listen": p.Addr, "discovery": launch.Discovery.Addr(), "seed": "8c1f30d27a5be964",
		"limits":   Object{"cores": 1.0, "memory_mb": launch.MemoryMB, "sockets": launch.Sockets},
		"known":    launch.Discovery.Known(),
		"settings": launch.Settings,
	}
	if launch.Peers != nil {
		file["peers"] = launch.Peers
	}
	text, err := json.Marshal(file)
	if err == nil {
		err = os.WriteFile(config, text, 0o600)
	}
	if err != nil {
		Fatal("launch file: %v", err)
	}
	p.log = filepath.Join(TempFolder(), "log")
	logFile, err := os.Create(p.log)
	if err != nil {
		Fatal("log: %v", err)
	}
	p.cmd = exec.Command("/bin/sh", "-c", RunLine())
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.cmd.Env = append(os.Environ(), "ROUTER_NAME="+launch.Name, "ROUTER_LISTEN="+p.Addr,
		"ROUTER_DISCOVERY="+launch.Discovery.Addr(), "ROUTER_CONFIG="+config, "TMPDIR="+p.Folder)
	if launch.Admin {
		p.Admin = FreeAddr()
		p.cmd.Env = append(p.cmd.Env, "ROUTER_OPERATOR="+p.Admin)
	}
	if err := p.cmd.Start(); err != nil {
		Fatal("start of the proxy: %v", err)
	}
	_ = logFile.Close()
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	proxiesMu.Lock()
	proxies = append(proxies, p)
	proxiesMu.Unlock()
	return p
}

// ready reports whether the process takes clients.
func (p *Proxy) ready() bool {
	if p.Admin != "" {
		return Get(p.Admin, "/-/ready") == 200
	}
	return Get(p.Addr, "/up") == 200
}

// Alive reports whether the process still runs.
func (p *Proxy) Alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the program that the run line started.
func (p *Proxy) Signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil {
		Fatal("signal: %v", err)
	}
}

// Log returns what the proxy has written.
func (p *Proxy) Log() string {
	text, _ := os.ReadFile(p.log)
	return string(text)
}

// EndProxies kills all proxies and removes the temporary folders.
func EndProxies() {
	proxiesMu.Lock()
	defer proxiesMu.Unlock()
	for _, p := range proxies {
		if p.Alive() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
			<-p.ended
		}
	}
	for _, folder := range folders {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		} else {
			fmt.Println("kept", folder)
		}
	}
	proxies, folders = nil, nil
}
