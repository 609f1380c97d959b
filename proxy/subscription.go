package proxy

import (
	"context"

	"lockloom/internal/discovery"
)

// subscription is a watch on discovery at one address. It belongs to the owner; its goroutine ends after end.
type subscription struct {
	addr  string
	stop  context.CancelFunc
	ended bool
}

// end ends a subscription, if there is one; nothing that it still receives is applied.
func (s *subscription) end() {
	if s != nil {
		s.ended = true
		s.stop()
	}
}

// endSubscriptions ends all that the list is received from.
func (l *endpointList) endSubscriptions() {
	l.subscription.end()
	l.pending.end()
}

// subscribe has the list come from discovery at this address from now on. The address may be wrong, or without an
// answer for long, so the present subscription is held until the new one is answered.
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
	watch := &discovery.Watch{
		Addr:        addr,
		Version:     list.version,
		FleetSize:   p.bootstrap.Proxies,
		DrainGrace:  p.bootstrap.DrainGrace,
		Dial:        p.Dial,
		Log:         p.log.WithField("discovery", addr),
		OnConnected: func() { p.post(func() { p.endpoints.activate(sub) }) },
		OnList:      func(update List) { p.post(func() { p.listReceived(sub, update) }) },
	}
	go watch.Run(ctx)
}

// activate replaces the present subscription by the pending one, which was answered.
func (l *endpointList) activate(sub *subscription) {
	if sub == l.pending {
		l.subscription.end()
		l.subscription, l.pending = sub, nil
	}
}

// listReceived applies what a subscription has received.
func (p *Proxy) listReceived(sub *subscription, update List) {
	if !sub.ended {
		p.applyEndpointList(update, false)
		p.endpoints.markReceived()
	}
}
