package proxy

import (
	"context"

	"lockloom/internal/discovery"
	"lockloom/internal/poller"
)

// subscription is a watch on discovery at one address. It belongs to the owner; its goroutine ends after a call to end.
type subscription struct {
	addr  string
	stop  context.CancelFunc
	ended bool
}

// end ends a subscription; lists that it still receives are not applied. It does nothing if s is nil.
func (s *subscription) end() {
	if s != nil {
		s.ended = true
		s.stop()
	}
}

// endSubscriptions ends the current and the pending subscription.
func (l *endpointList) endSubscriptions() {
	l.subscription.end()
	l.pending.end()
}

// subscribe switches to discovery at an address. The address may be wrong, or not answer for long, so the current
// subscription is kept until the new one is answered.
func (p *Proxy) subscribe(addr string) {
	list := &p.endpoints
	if list.pending != nil && list.pending.addr == addr {
		return
	}
	list.pending.end()
	list.pending = nil
	if list.subscription != nil && list.subscription.addr == addr {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	sub := &subscription{addr: addr, stop: stop}
	list.pending = sub
	pacer := poller.NewPacer(listsPerRound)
	watch := &discovery.Watch{
		Addr:        addr,
		Version:     list.version,
		FleetSize:   p.bootstrap.Proxies,
		DrainGrace:  p.bootstrap.DrainGrace,
		Dial:        p.Dial,
		Log:         p.log.WithField("discovery", addr),
		OnConnected: func() { p.post(func() { p.endpoints.activate(sub) }) },
		OnList:      func(update List) { p.postList(sub, update, pacer) },
	}
	go func() {
		defer pacer.Close()
		watch.Run(ctx)
	}()
}

// listsPerRound is how many lists of a subscription the owner applies before all goroutines that are runnable have run.
const listsPerRound = 16

// postList passes a list to the owner. After listsPerRound of them it waits until the owner has applied them: a
// discovery service that sends without a pause must not fill the owner's queue.
func (p *Proxy) postList(sub *subscription, update List, pacer *poller.Pacer) {
	p.post(func() { p.listReceived(sub, update) })
	if !pacer.Step() {
		return
	}
	applied := make(chan struct{})
	p.post(func() { close(applied) })
	select {
	case <-applied:
	case <-p.loop.quit:
	}
}

// activate replaces the current subscription with the pending one, which was answered.
func (l *endpointList) activate(sub *subscription) {
	if sub == l.pending {
		l.subscription.end()
		l.subscription, l.pending = sub, nil
	}
}

// listReceived applies a list that a subscription has received.
func (p *Proxy) listReceived(sub *subscription, update List) {
	if !sub.ended {
		p.applyEndpointList(update, false)
		p.endpoints.markReceived()
	}
}
