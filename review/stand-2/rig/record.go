// Package rig holds the stand-ins of the cases 6 to 10: the platform that starts a proxy, discovery, backends and
// clients. They use the standard library alone and follow the operators' protocol page.
package rig

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record writes what was sent, answered and run to record.txt. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) *Record {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		Fatal("record: %v", err)
	}
	return &Record{file: file, started: time.Now()}
}

// Line writes one line, with the seconds since the start of the case before it.
func (r *Record) Line(format string, args ...any) {
	r.LineAt(time.Now(), format, args...)
}

// LineAt does the same for something that happened at another time.
func (r *Record) LineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", at.Sub(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Trouble reports whether the case plays with its disruption: not with TROUBLE=0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// failure ends a case that could not run; see Main.
type failure struct{ text string }

// Fatal ends the case: it could not run. It may be called only on the goroutine that runs the case.
func Fatal(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }

// Main runs a case: run gets the record and returns the exit code. All proxies that run has started are ended.
func Main(run func(*Record) int) {
	os.Exit(guarded(run))
}

// limit is the longest time that a case may take.
const limit = 115 * time.Second

func guarded(run func(*Record) int) (code int) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(limit):
		}
		EndProxies()
		os.Exit(NotRun)
	}()
	defer EndProxies()
	defer func() {
		if r := recover(); r != nil {
			f, ok := r.(failure)
			if !ok {
				EndProxies()
				panic(r)
			}
			fmt.Println("could not run:", f.text)
			code = NotRun
		}
	}()
	folder := "."
	if len(os.Args) > 1 {
		folder = os.Args[1]
	}
	return run(NewRecord(folder))
}
