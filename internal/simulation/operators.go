package simulation

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"lockloom/internal/admin"
	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
)

// What operators may expect, as they see it from outside.
const (
	adminTimeout       = time.Second            // of an admin call
	upgradeTimeout     = 6 * time.Second        // for a second process to be ready
	drainCheckDelay    = 4 * time.Second        // until a drained proxy is checked again
	resumeTimeout      = 2 * time.Second        // for it to be ready again
	drainNoticeTimeout = 500 * time.Millisecond // for it to say that it is not ready
)

// call makes an admin call at a proxy; any status but success is an error.
func (r *rig) call(i int, c admin.Call) error {
	p := r.process(i)
	p.mu.Lock()
	addr := p.adminAddr
	p.mu.Unlock()
	status, text, err := admin.Send(addr, c, adminTimeout)
	if err != nil {
		return fmt.Errorf("proxy %d: %s: %w", i+1, c.Path(), err)
	}
	if status < 200 || status > 299 {
		return fmt.Errorf("proxy %d: %s: %d: %s", i+1, c.Path(), status, text)
	}
	return nil
}

// upgrade starts a second process beside a proxy's, and has the first end once the second serves.
func (r *rig) upgrade(ctx context.Context, i int) error {
	r.mu.Lock()
	old := r.processes[i]
	r.processes[i] = &process{adminAddr: old.adminAddr}
	r.mu.Unlock()
	if err := r.start(ctx, i); err != nil {
		return err
	}
	for end := time.Now().Add(upgradeTimeout); ; time.Sleep(readyInterval) {
		err := r.call(i, admin.Call{Action: admin.Ready})
		if err == nil {
			break
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("upgrade: %w", err)
		}
	}
	r.end(old, syscall.SIGTERM)
	p := r.process(i)
	p.mu.Lock()
	p.peakMemoryMB = max(p.peakMemoryMB, old.peakMemoryMB)
	p.mu.Unlock()
	return nil
}

// drain drains a proxy for a duration, and checks that it says so.
func (r *rig) drain(ctx context.Context, i int, duration time.Duration) error {
	up := func(want bool, within time.Duration) error {
		for end := time.Now().Add(within); ; time.Sleep(readyInterval) {
			if (loadgen.CheckReady(r.proxyAddrs[i], readyCheckTimeout) == nil) == want {
				return nil
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("proxy %d: up is not %t %v after the call", i+1, want, within)
			}
		}
	}
	if err := r.call(i, admin.Call{Action: admin.Drain}); err != nil {
		return err
	}
	if err := up(false, drainNoticeTimeout); err != nil {
		return err
	}
	resumed := time.After(duration)
	if duration > drainCheckDelay {
		time.Sleep(drainCheckDelay)
		if err := up(false, 0); err != nil {
			return err
		}
	}
	select {
	case <-resumed:
	case <-ctx.Done():
		return nil
	}
	if err := r.call(i, admin.Call{Action: admin.Resume}); err != nil {
		return err
	}
	return up(true, resumeTimeout)
}

// disableServer disables the server at a position at a proxy for a duration. The audit holds the proxy to it from the
// call's success on.
func (r *rig) disableServer(ctx context.Context, i, position int, duration time.Duration) error {
	var id string
	var member int
	r.servers.Inspect(func(f *emulator.Fleet) { id, member = f.Member(position).Name, f.Index(position) })
	if err := r.call(i, admin.Call{Action: admin.Disable, ID: id}); err != nil {
		return err
	}
	r.score.locked(func(now, _ float64) { r.score.audit.ServerDisabled(now, i, member, true) })
	select {
	case <-time.After(duration):
	case <-ctx.Done():
		return nil
	}
	r.score.locked(func(now, _ float64) { r.score.audit.ServerDisabled(now, i, member, false) })
	return r.call(i, admin.Call{Action: admin.Enable, ID: id})
}
