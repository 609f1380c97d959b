// Package simwire is the text codec of the bench's wire. The wire's names end here: Read turns its lines
// into calls on a Receiver, Writer turns calls into its lines.
package simwire

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"lockloom/balance"
	"lockloom/internal/gossip"
	"lockloom/internal/settings"
)

// Receiver is told what the wire says. Times are in seconds.
type Receiver interface {
	Batch(now float64, number string) // a batch begins
	Finish() error                    // and ends: its reply is due
	Instance(n int) error             // the calls below are for this one
	Launched(settings.Settings) error
	Stopped() error
	Listed(kind ListKind, entries []settings.Entry) error
	Order(RequestOrder) error
	Started(id string, attempt int) error
	Ended(End) error
	Left(id string) error
	Fired(label int) error
	Probed(server string, ok bool, r balance.LoadReport) error
	Heard(from int, n balance.GossipMessage) error
}

// ListKind says what a list of servers holds.
type ListKind uint8

const (
	Changes ListKind = iota
	FullList
	CachedList // the whole list, perhaps stale
	PollFailed // none: asking failed
)

// RequestOrder is a request with its names; the rest is as the module takes it, but for Ref, Class, Tenant and Key.
type RequestOrder struct {
	balance.RequestInfo
	ID, ClassName, TenantName, KeyName string
}

// End is the end of an attempt.
type End struct {
	ID      string
	Leg     int
	Outcome balance.Outcome
	Latency float64
	Over    bool
}

var (
	outcomes = map[string]balance.Outcome{"pass": balance.Succeeded, "fault": balance.ServerError,
		"no_room": balance.ServerRejected, "too_slow": balance.TimedOut, "no_route": balance.ConnectFailed,
		"cut": balance.ConnectionLost, "undone": balance.Canceled, "stale_send": balance.NotSent}
	states = map[string]balance.EndpointState{"Ready": balance.Ready, "Terminating": balance.Draining, "Gone": balance.Removed}
	lists  = map[string]ListKind{"D": Changes, "F": FullList, "C": CachedList, "X": PollFailed}
)

// line is one message: its name, its fields, and the first thing found wrong with them.
type line struct {
	number int
	name   string
	rest   string
	err    error
}

func (l *line) fail(field, what string) {
	if l.err == nil {
		l.err = fmt.Errorf("line %d: %s: %s: %s", l.number, l.name, field, what)
	}
}

// text finds a field of the line. Fields are few, so looking is cheaper than a map.
func (l *line) text(field string) (string, bool) {
	for rest := l.rest; rest != ""; {
		var part string
		part, rest, _ = strings.Cut(rest, " ")
		if name, value, ok := strings.Cut(part, "="); ok && name == field {
			return value, true
		}
	}
	return "", false
}

func (l *line) must(field string) string {
	v, ok := l.text(field)
	if !ok || v == "" {
		l.fail(field, "missing")
	}
	return v
}

// maybe returns the field's number, or 0 where it is absent.
func (l *line) maybe(field string) float64 {
	v, ok := l.text(field)
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		l.fail(field, fmt.Sprintf("not a number: %q", v))
	}
	return x
}

func (l *line) num(field string) float64 {
	l.must(field)
	return l.maybe(field)
}

func (l *line) whole(field string) int {
	x := l.num(field)
	if x != math.Trunc(x) || math.Abs(x) > 1<<62 {
		l.fail(field, "not a whole number")
	}
	return int(x)
}

func (l *line) bool(field string) bool {
	v, ok := l.text(field)
	if ok && v != "0" && v != "1" {
		l.fail(field, fmt.Sprintf("not 0 or 1: %q", v))
	}
	return v == "1"
}

// report reads a load report, where there is one.
func (l *line) report() balance.LoadReport {
	text, _ := l.text("Pressure")
	return settings.ParseLoadReport(text)
}

func word[T any](l *line, field string, words map[string]T) T {
	v := l.must(field)
	w, ok := words[v]
	if !ok {
		l.fail(field, fmt.Sprintf("unknown: %q", v))
	}
	return w
}

// Read hands on all messages of in until its end, which is no error.
func Read(in io.Reader, to Receiver) error {
	src := bufio.NewReaderSize(in, 1<<20)
	pages := map[int][]settings.Entry{}
	page, left, inBatch := 0, 0, false
	for n := 1; ; n++ {
		raw, err := src.ReadString('\n')
		if err == io.EOF && raw == "" {
			if left > 0 || inBatch {
				return fmt.Errorf("line %d: input ends within a batch", n)
			}
			return nil
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("line %d: %w", n, err)
		}
		l := &line{number: n}
		l.name, l.rest, _ = strings.Cut(strings.TrimRight(raw, "\r\n"), " ")
		if (l.name == "entry") != (left > 0) {
			return fmt.Errorf("line %d: %s: an entry is due, or none is", n, l.name)
		}
		if !inBatch && l.name != "sync" || inBatch && l.name == "sync" {
			return fmt.Errorf("line %d: %s: outside its place in a batch", n, l.name)
		}
		var call func() error
		switch l.name {
		case "sync":
			inBatch = true
			now, number := l.num("MomentMs")/1000, l.must("frame")
			call = func() error { to.Batch(now, number); return nil }
		case "go":
			inBatch = false
			call = to.Finish
		case "instance":
			i := l.whole("Proxy")
			call = func() error { return to.Instance(i) }
		case "launch":
			d := launch(l)
			call = func() error { return to.Launched(d) }
		case "down":
			call = to.Stopped
		case "page":
			page, left = l.whole("List"), l.whole("NodesList")
			if left < 0 {
				l.fail("NodesList", "negative")
			}
			pages[page] = nil
		case "entry":
			left--
			e := settings.Entry{Name: l.must("Backend")}
			e.ZoneName, _ = l.text("Az")
			e.ModelName, _ = l.text("Flavor")
			e.State = word(l, "StageState", states)
			e.StartedAt = l.maybe("UpSinceMs") / 1000
			e.Cores = l.maybe("Heft")
			e.Pod = int(l.maybe("Pack"))
			pages[page] = append(pages[page], e)
		case "view":
			kind := word(l, "How", lists)
			var entries []settings.Entry
			if kind != PollFailed {
				i := l.whole("List")
				var ok bool
				if entries, ok = pages[i]; !ok {
					l.fail("List", "no such list")
				}
			}
			call = func() error { return to.Listed(kind, entries) }
		case "order":
			o := RequestOrder{ID: l.must("Job"), ClassName: l.must("Class")}
			o.TenantName, _ = l.text("Realm")
			o.KeyName, _ = l.text("Entity")
			o.Deadline = l.num("DeadlineMs") / 1000
			o.ExpectedWork = l.maybe("ExpectedMs") / 1000
			o.ClientRetry = l.bool("AgainByClient")
			call = func() error { return to.Order(o) }
		case "first":
			id, attempt := l.must("Job"), l.whole("Leg")
			call = func() error { return to.Started(id, attempt) }
		case "finished":
			e := End{ID: l.must("Job"), Leg: l.whole("Leg"), Outcome: word(l, "Status", outcomes),
				Latency: l.num("LatencyMs") / 1000, Over: l.bool("Over")}
			call = func() error { return to.Ended(e) }
		case "client_left":
			id := l.must("Job")
			call = func() error { return to.Left(id) }
		case "fired":
			label := l.whole("Label")
			call = func() error { return to.Fired(label) }
		case "check_result":
			name, ok, report := l.must("Backend"), l.must("Status") == "pass", l.report()
			call = func() error { return to.Probed(name, ok, report) }
		case "peer_data":
			from, data := l.whole("Who"), l.must("Data")
			call = func() error {
				n, err := gossip.FromHex(data)
				if err != nil { // danger: a peer of another build or a broken wire; its word changes nothing
					return nil
				}
				return to.Heard(from, n)
			}
		default:
			l.fail("message", "unknown")
		}
		if l.err != nil {
			return l.err
		}
		if call != nil {
			if err := call(); err != nil {
				return fmt.Errorf("line %d: %s: %w", n, l.name, err)
			}
		}
	}
}
