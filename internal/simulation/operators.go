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

// Time limits and delays of admin calls, measured from outside of the proxy.
const (
	adminTimeout       = time.Second            // limit for one admin call
	upgradeTimeout     = 6 * time.Second        // from the start of the successor until it is ready
	drainCheckDelay    = 4 * time.Second        // from a drain call until the proxy is checked again
	resumeTimeout      = 2 * time.Second        // from a resume call until the proxy is ready
	drainNoticeTimeout = 500 * time.Millisecond // from a drain call until the proxy is not ready
)

// call sends an admin call to a proxy. A status other than 2xx is an error.
func (r *rig) call(i int, c admin.Call) error {
	p := r.process(i)
	p.mu.Lock()
	addr := p.adminAddr
	p.mu.Unlock()
	status, text, err := admin.Send(addr, c, adminTimeout)
	if err != nil {
		return fmt.Errorf("proxy %d: admin call %s: %w", i+1, c.Path(), err)
	}
	if status < 200 || status > 299 {
		return fmt.Errorf("proxy %d: admin call %s: status %d: %s", i+1, c.Path(), status, text)
	}
	return nil
}

// upgrade starts a successor beside the process of a proxy, and stops the predecessor once the successor is ready.
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
			return fmt.Errorf("upgrade: the successor is not ready: %w", err)
		}
	}
	r.end(old, syscall.SIGTERM)
	p := r.process(i)
	p.mu.Lock()
	p.peakMemoryMB = max(p.peakMemoryMB, old.peakMemoryMB)
	p.mu.Unlock()
	return nil
}

// drain drains a proxy for a duration, and checks that it is not ready until it is resumed.
func (r *rig) drain(ctx context.Context, i int, duration time.Duration) error {
	// expectReady waits until the readiness of the proxy is the wanted one.
	expectReady := func(want bool, within time.Duration) error {
		for end := time.Now().Add(within); ; time.Sleep(readyInterval) {
			if (loadgen.CheckReady(r.proxyAddrs[i], readyCheckTimeout) == nil) == want {
				return nil
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("proxy %d: expected ready to be %t, waited for %v", i+1, want, within)
			}
		}
	}
	if err := r.call(i, admin.Call{Action: admin.Drain}); err != nil {
		return err
	}
	if err := expectReady(false, drainNoticeTimeout); err != nil {
		return err
	}
	resumed := time.After(duration)
	if duration > drainCheckDelay {
		time.Sleep(drainCheckDelay)
		if err := expectReady(false, 0); err != nil {
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
	return expectReady(true, resumeTimeout)
}

// disableServer disables the server at a position at a proxy for a duration. From the success of the call on, the audit
// checks that the proxy stops sending to it.
func (r *rig) disableServer(ctx context.Context, i, position int, duration time.Duration) error {
	var id string
	var member int
	r.servers.Inspect(func(f *emulator.Fleet) { id, member = f.Member(position).Name, f.MemberIndex(position) })
	if err := r.call(i, admin.Call{Action: admin.Disable, ID: id}); err != nil {
		return err
	}
	r.recorder.locked(func(now, _ float64) { r.recorder.audit.ServerDisabled(now, i, member, true) })
	select {
	case <-time.After(duration):
	case <-ctx.Done():
		return nil
	}
	r.recorder.locked(func(now, _ float64) { r.recorder.audit.ServerDisabled(now, i, member, false) })
	return r.call(i, admin.Call{Action: admin.Enable, ID: id})
}
