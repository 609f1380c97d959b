package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"lockloom/internal/heads"
)

const (
	dialFor    = time.Second            // to reach an agent on this machine
	answerFor  = 10 * time.Second       // for the first word: whoever gives up and asks anew waits behind all others again
	silentFor  = 3 * time.Second        // without a line: its beat comes every 2 s
	pauseFirst = 100 * time.Millisecond // before the first new try
	pauseMost  = time.Second            // before a later one: what is to be told counts as told within 6 s
	eachPause  = 50 * time.Millisecond  // a proxy of the bank: the least mean pause, so that all ask 20 times a second together
	lineMost   = 4 << 20                // bytes of a line: a list of some ten thousand backends
)

// Watch follows a list from a version on. While it runs, Version is the list's last and nobody else changes a field.
type Watch struct {
	Addr    string
	Version int64
	Bank    int // proxies that may ask at the same time, this one included
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	Up      func()     // each time discovery answers; what it tells follows
	Told    func(List) // each list, in order
	Log     logrus.FieldLogger
	Chance  func() float64 // spreads the pauses, from 0 to 1; nil: a source of its own
}

// Run watches until the context ends, connecting anew after a growing pause spread by chance. Danger: a bank that loses
// discovery all at once and asks again all at once keeps it overbooked, so that nobody hears anything: the more proxies
// there are, the longer each waits.
func (w *Watch) Run(ctx context.Context) {
	first := max(pauseFirst, time.Duration(w.Bank)*eachPause)
	most := max(pauseMost, 2*first)
	pause, chance := first, w.Chance
	if chance == nil {
		chance = rand.Float64
	}
	for ctx.Err() == nil {
		before := w.Version
		err := w.follow(ctx, func() { pause = first })
		if ctx.Err() != nil {
			return
		}
		w.Log.WithError(err).WithFields(logrus.Fields{"from": before, "version": w.Version}).Warn("watch lost")
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration((0.5 + chance()) * float64(pause))):
		}
		pause = min(2*pause, most)
	}
}

// follow holds one watch until it breaks.
func (w *Watch) follow(ctx context.Context, good func()) error {
	dialing, cancel := context.WithTimeout(ctx, dialFor)
	conn, err := w.Dial(dialing, w.Addr)
	cancel()
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(answerFor)) // danger: a bank that asks anew each second keeps discovery overbooked
	head := fmt.Appendf(nil, "GET /discovery/hosts?stream=1&index=%d HTTP/1.1\r\nHost: %s\r\n\r\n", w.Version, w.Addr)
	if _, err := conn.Write(head); err != nil {
		return err
	}
	r := heads.NewReader(conn)
	h, err := r.Response()
	if err != nil {
		return err
	}
	if h.Status != 200 || !h.Chunked {
		return fmt.Errorf("no stream: status %d", h.Status)
	}
	conn.SetDeadline(time.Now().Add(silentFor))
	w.Up()
	lines := bufio.NewScanner(r.Stream())
	lines.Buffer(nil, lineMost)
	for lines.Scan() {
		conn.SetDeadline(time.Now().Add(silentFor))
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		var l List
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			return fmt.Errorf("malformed line: %w", err) // the list as it was still holds
		}
		good()
		w.Version = l.Version
		w.Told(l)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("ended by discovery")
}
