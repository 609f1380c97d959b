package proxy

import (
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/admin"
	"lockloom/internal/discovery"
	"lockloom/internal/hotrestart"
	"lockloom/internal/settings"
	"lockloom/lifecycle"
)

const (
	idsKept   = 16 << 10               // ids ever listed that are remembered, 0.6 MB of them
	giveFor   = 300 * time.Millisecond // for the owner to tell the list to the next process
	inUseFor  = 15 * time.Second       // for a process that does not hand over to leave an address: an overlap and its end
	overlap   = 0.5                    // of all that is bounded, while another process of this proxy runs
	paceTurns = 10 * time.Millisecond  // between looks whether to accept again
)

// life is what operators, and other processes of this proxy, say of it, and how far this process has come. Whoever hears an order
// takes the lock for a moment; the owner then obeys it, see obey.
type life struct {
	mu     sync.Mutex
	duty   lifecycle.Process
	ids    *lifecycle.IDSet
	before *hotrestart.Link          // to the process that served before
	heirs  map[*hotrestart.Link]bool // to those that asked, and whether they serve
	lns    map[string]net.Listener   // handed over, by address, until they are asked for
	all    []*net.TCPListener        // to hand over
	addrs  []string                  // as they were asked for, which is what the next process will ask for
	state  *hotrestart.State         // what was handed over
	news   chan struct{}             // orders that the owner has not obeyed
	asked  bool                      // before was looked for
	offer  *hotrestart.Server
}

func newLife() *life {
	return &life{ids: lifecycle.NewIDSet(idsKept), heirs: map[*hotrestart.Link]bool{}, news: make(chan struct{}, 1)}
}

// peek reads something of a life.
func peek[T any](l *life, f func(*lifecycle.Process) T) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return f(&l.duty)
}

// stopping says whether this process was told to end.
func (p *Proxy) stopping() bool {
	return peek(p.life, func(d *lifecycle.Process) bool { return d.StoppedAt > 0 })
}

// Administer carries out an operators' call. It is in force when this returns: what the owner has still to do, it does within the grace
// that a drain has.
func (p *Proxy) Administer(c admin.Call) (status int, text string) {
	l, now := p.life, p.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch c.Action {
	case admin.Ready:
		if !l.duty.Ready() {
			return 503, "not ready"
		}
		return 200, "ready"
	case admin.Disable, admin.Enable:
		if !l.ids.Has(settings.NameHash(c.ID)) {
			return 404, "no backend of that id was ever listed"
		}
		if c.Action == admin.Disable {
			l.duty.Disable(c.ID, now)
		} else {
			l.duty.Enable(c.ID, now)
		}
	case admin.Drain, admin.Resume:
		l.duty.SetDraining(c.Action == admin.Drain, now)
	}
	l.ordered(nil)
	return 200, "done"
}

// ordered passes orders on to the owner, and to the other processes but the one that said them.
func (l *life) ordered(but *hotrestart.Link) {
	select {
	case l.news <- struct{}{}:
	default:
	}
	w := l.word()
	if l.before != nil && l.before != but {
		go l.before.Send(w)
	}
	for link := range l.heirs {
		if link != but {
			go link.Send(w) // danger: it may not read, and whoever gave the order waits
		}
	}
}

// word is all orders, to be said; the caller holds the lock.
func (l *life) word() hotrestart.Update {
	orders := l.duty.AdminState.Clone()
	return hotrestart.Update{AdminState: &orders}
}

// heard takes in what another process says.
func (l *life) heard(from *hotrestart.Link, w hotrestart.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.AdminState != nil && l.duty.Merge(*w.AdminState) {
		l.ordered(from)
	}
	if serves, known := l.heirs[from]; known && w.Serving && !serves {
		l.heirs[from] = true
		l.inherit()
	}
}

// inherit settles whether another process serves in this one's stead, and has accept look again.
func (l *life) inherit() {
	l.duty.SuccessorServing = slices.Contains(slices.Collect(maps.Values(l.heirs)), true)
	for _, ln := range l.all {
		if l.duty.AcceptsConnections() {
			ln.SetDeadline(time.Time{})
		} else {
			ln.SetDeadline(time.Unix(1, 0))
		}
	}
}

// obey has the decisions hear of the bans that are new or over. It is the owner's.
func (p *Proxy) obey() {
	orders := peek(p.life, func(d *lifecycle.Process) lifecycle.AdminState { return d.AdminState.Clone() })
	old := p.orders
	p.orders = orders
	var changed List
	for _, id := range slices.Sorted(maps.Keys(orders.Servers)) {
		if old.Servers[id] == orders.Servers[id] {
			continue
		}
		index, ok := p.names.Find(id)
		if !ok {
			continue
		}
		if e, ok := p.known[index]; ok {
			changed.Entries = append(changed.Entries, e)
		}
		for _, in := range p.branches {
			if in.written && slices.ContainsFunc(in.first, func(b balance.Endpoint) bool { return b.Index == index }) {
				in.listed(p, List{Full: true}, true, nil)
			}
		}
	}
	if old.Drain.On != orders.Drain.On {
		p.log.WithField("drained", orders.Drain.On).Info("drain")
	}
	if len(changed.Entries) > 0 {
		changed.Version = p.version
		p.list(changed, false)
	} else {
		p.opine()
	}
}

// ruled is an entry of the list as operators' orders leave it, and since when its server is disabled, if it is.
func (p *Proxy) ruled(e discovery.Entry) (discovery.Entry, float64) {
	banned, started := p.orders.Disabled(e.Name, e.StartedAt)
	e.StartedAt = started
	if !banned {
		return e, 0
	}
	if e.State == balance.Ready {
		e.State = balance.Draining
	}
	return e, p.orders.Servers[e.Name].Since
}

// ruledOut are the written-out servers of a pool as operators' orders leave them.
func (p *Proxy) ruledOut(first []balance.Endpoint) []balance.Endpoint {
	out := slices.Clone(first)
	for i := range out {
		b := &out[i]
		var e discovery.Entry
		e.Name, e.State, e.StartedAt = p.names.Name(b.Index), b.State, b.StartedAt
		e, banned := p.ruled(e)
		b.State, b.StartedAt = e.State, e.StartedAt
		p.told(b.Index, b.State, p.now(), banned)
	}
	return out
}

// Listen listens at an address: on the socket that a process of this proxy hands over which serves already, or on one of its own.
func (p *Proxy) Listen(addr string) (net.Listener, error) {
	p.succeed()
	l := p.life
	l.mu.Lock()
	ln := l.lns[addr]
	delete(l.lns, addr)
	l.mu.Unlock()
	if ln == nil {
		var err error
		if ln, err = hotrestart.Listen(addr, inUseFor); err != nil {
			return nil, err
		}
	}
	if tcp, ok := ln.(*net.TCPListener); ok {
		l.mu.Lock()
		l.all, l.addrs = append(l.all, tcp), append(l.addrs, addr)
		l.mu.Unlock()
	}
	return ln, nil
}

func (p *Proxy) hello() hotrestart.Identity {
	return hotrestart.Identity{Format: hotrestart.Format, Name: p.launch.Name, Listen: p.launch.Listen}
}

// succeed takes over from a process of this proxy, if there is one that offers to.
func (p *Proxy) succeed() {
	l := p.life
	if p.launch.HotRestartDir == "" || l.asked {
		return
	}
	l.asked = true
	s, lns, link, err := hotrestart.TakeOver(hotrestart.Path(p.launch.HotRestartDir, p.hello()), p.hello())
	if err != nil {
		if !errors.Is(err, hotrestart.ErrNoPredecessor) {
			p.log.WithError(err).Warn("nothing was handed over: starting as after a plain start")
		}
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.duty.PredecessorServing = true
	l.state, l.before, l.lns = s, link, map[string]net.Listener{}
	for i, ln := range lns {
		l.lns[s.Listeners[i]] = ln
	}
	for _, mark := range s.IDs {
		l.ids.Add(mark)
	}
	if l.duty.Merge(s.AdminState) {
		l.ordered(link)
	}
	if s.Listed && s.List.Version >= p.launch.Known.Version {
		p.launch.Known = s.List
	}
	p.log.WithFields(logrus.Fields{"sockets": len(lns), "version": s.List.Version, "orders": len(s.AdminState.Servers)}).Info("handed over")
	go func() {
		err := link.Receive(func(w hotrestart.Update) { l.heard(link, w) })
		p.log.WithError(err).Info("the process before has left")
		l.mu.Lock()
		l.before, l.duty.PredecessorServing = nil, false
		l.mu.Unlock()
		p.shares()
	}()
}

// listed remembers an id.
func (l *life) listed(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids.Add(settings.NameHash(id))
}

// closes says whether connections close with their answers.
func (p *Proxy) closes() bool {
	now := p.now()
	return peek(p.life, func(d *lifecycle.Process) bool { return d.ClosesAfterResponse(now) })
}

// takes says whether what has come whole is a request.
func (p *Proxy) takes() bool {
	now := p.now()
	return peek(p.life, func(d *lifecycle.Process) bool { return d.AdmitsRequests(now) })
}

// stop notes the order to end, and tells whether another process serves already. Its idle connections are closed by last.
func (p *Proxy) stop(last time.Time) (heir bool) {
	l, now := p.life, p.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.duty.StoppedAt == 0 {
		l.duty.StoppedAt, l.duty.IdleCloseDeadline = now, p.stamp(last)
	}
	return l.duty.SuccessorServing
}

// end notes that connections end with their answers from now on.
func (p *Proxy) end() {
	p.stop(time.Now())
	p.life.mu.Lock()
	defer p.life.mu.Unlock()
	p.life.duty.Terminating = true
}

// leave ends what is between this process and others.
func (l *life) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.offer.Close()
	if l.before != nil {
		l.before.Close()
	}
	for link := range l.heirs {
		link.Close()
	}
}

// serves tells the process before that this one takes clients, and offers in its place what there is.
func (p *Proxy) serves() {
	l := p.life
	l.mu.Lock()
	defer l.mu.Unlock()
	l.duty.Serving = true
	for addr, ln := range l.lns { // of an operator file that is another now
		p.log.WithField("listen", addr).Warn("handed over, and not served any more")
		ln.Close()
	}
	l.lns = nil
	if l.before != nil {
		go l.before.Send(hotrestart.Update{Serving: true})
	}
	p.offers()
}

// offers has the next process find this one; the caller holds the lock.
func (p *Proxy) offers() {
	l := p.life
	if p.launch.HotRestartDir == "" || len(l.all) == 0 {
		return
	}
	l.offer.Close()
	var err error
	l.offer, err = hotrestart.Serve(hotrestart.Path(p.launch.HotRestartDir, p.hello()), p.hello(), p.give, p.met)
	if err != nil {
		p.log.WithError(err).Warn("cannot hand over to a next process")
	}
}

// give is what the next process gets.
func (p *Proxy) give() (hotrestart.State, []*net.TCPListener) {
	type known struct {
		list    List
		learned balance.Snapshot
	}
	told := make(chan known, 1)
	go p.post(func() {
		list := List{Version: p.version, Full: true}
		for _, index := range slices.Sorted(maps.Keys(p.known)) {
			list.Entries = append(list.Entries, p.known[index])
		}
		told <- known{list, p.main.b.Snapshot(p.now())}
	})
	s := hotrestart.State{}
	select {
	case k := <-told:
		s.List, s.Snapshot, s.Listed = k.list, k.learned, true
	case <-time.After(giveFor):
	}
	l := p.life
	l.mu.Lock()
	defer l.mu.Unlock()
	s.AdminState, s.IDs = l.duty.AdminState.Clone(), l.ids.All()
	s.Listeners = slices.Clone(l.addrs) // danger: ":8080" is "[::]:8080" once it listens, and the next process would find nothing by it
	return s, slices.Clone(l.all)
}

// met takes in a process that has what this one gave, until it ends.
func (p *Proxy) met(link *hotrestart.Link, err error) {
	if err != nil {
		p.log.WithError(err).Warn("not handed over")
		return
	}
	l := p.life
	p.log.Info("handed over to another process")
	l.mu.Lock()
	l.heirs[link] = false
	w := l.word() // what was ordered while the state was on its way
	l.mu.Unlock()
	p.shares()
	go link.Send(w)
	err = link.Receive(func(w hotrestart.Update) { l.heard(link, w) })
	link.Close()
	l.mu.Lock()
	served := l.heirs[link]
	delete(l.heirs, link)
	l.inherit()
	if served && l.duty.StoppedAt == 0 { // danger: nobody would accept, and the next one would find nobody
		p.log.WithError(err).Warn("the process that took over has ended: serving again")
		p.offers()
	}
	l.mu.Unlock()
	p.shares()
}

// part is this process's of what is bounded for all of the proxy.
func (p *Proxy) part() float64 {
	l := p.life
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.before != nil || len(l.heirs) > 0 {
		return overlap
	}
	return 1
}

// shares gives this process its part of what is bounded for all of the proxy.
func (p *Proxy) shares() {
	part := p.part()
	p.door.share(part)
	p.heldMost.Store(int64(part * p.heldWhole))
	if p.OnShareChanged != nil {
		p.OnShareChanged(part)
	}
	go p.post(func() {
		part := p.part() // two such calls may come in either order
		p.pool.SetMaxConnections(int(part * float64(p.poolMost)))
		for _, in := range p.branches {
			in.b.SetBudgetShare(part)
		}
	})
}

// rush closes idle connections where the proxy is to be emptied.
func (p *Proxy) rush() {
	p.life.mu.Lock()
	share, fresh := p.life.duty.IdleCloseFraction(p.now(), sweepEvery.Seconds())
	p.life.mu.Unlock()
	if share > 0 {
		p.door.empty(share, fresh)
	}
}
