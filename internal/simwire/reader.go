package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"lockloom/internal/gossip"
	"lockloom/internal/settings"
)

// readBufferBytes is the size of the read buffer. Lines may be longer.
const readBufferBytes = 1 << 20

// Read decodes the messages of in and calls the receiver's methods for them until in ends. It returns an error, with
// the line number, if a message is malformed or out of order, a method returns an error or in ends within a batch.
func Read(in io.Reader, receiver Receiver) error {
	source := bufio.NewReaderSize(in, readBufferBytes)
	d := &decoder{receiver: receiver, lists: map[int][]settings.Entry{}}
	for line := 1; ; line++ {
		text, err := source.ReadString('\n')
		switch {
		case err != nil && !errors.Is(err, io.EOF):
			return fmt.Errorf("line %d: %w", line, err)
		case err == nil || text != "":
			if err := d.handle(parseMessage(line, text)); err != nil {
				return err
			}
		case d.entriesLeft > 0 || d.inBatch:
			return fmt.Errorf("line %d: input ends within a batch", line)
		default:
			return nil
		}
	}
}

// decoder turns messages into calls of the receiver's methods.
type decoder struct {
	receiver    Receiver
	inBatch     bool
	lists       map[int][]settings.Entry // by list number
	list        int                      // number of the list being read
	entriesLeft int                      // entries of that list still to be read
}

// handle decodes a message and calls the receiver's method for it, if there is one.
func (d *decoder) handle(m *message) error {
	if (m.name == "entry") != (d.entriesLeft > 0) {
		return fmt.Errorf("line %d: %s: %d more entry messages are expected here", m.line, m.name, d.entriesLeft)
	}
	if (m.name == "sync") == d.inBatch {
		return fmt.Errorf("line %d: %s: a batch must start with a sync message and contain no other", m.line, m.name)
	}
	call := d.decode(m)
	if m.err != nil {
		return m.err
	}
	if call == nil {
		return nil
	}
	if err := call(); err != nil {
		return fmt.Errorf("line %d: %s: %w", m.line, m.name, err)
	}
	return nil
}

// decode returns a function that calls the receiver's method for a message, or nil if there is none: the entries of an
// endpoint list are only stored. For a malformed or unknown message it sets m.err.
func (d *decoder) decode(m *message) func() error {
	switch m.name {
	case "sync":
		return d.batchStarted(m)
	case "go":
		d.inBatch = false
		return d.receiver.BatchEnded
	case "instance":
		number := m.integer("Proxy")
		return func() error { return d.receiver.InstanceSelected(number) }
	case "launch":
		launched := m.settings()
		return func() error { return d.receiver.InstanceLaunched(launched) }
	case "down":
		return d.receiver.InstanceStopped
	case "page":
		d.beginList(m)
		return nil
	case "entry":
		d.readEntry(m)
		return nil
	case "view":
		return d.endpointsListed(m)
	}
	return d.decodeTraffic(m)
}

// decodeTraffic is the part of decode for the messages about requests, timers, health checks and gossip. For a message
// that is none of these it sets m.err: decode has handled all other kinds.
func (d *decoder) decodeTraffic(m *message) func() error {
	switch m.name {
	case "order":
		return d.requestArrived(m)
	case "first":
		requestID, attempt := m.requiredText("Job"), m.integer("Leg")
		return func() error { return d.receiver.ResponseStarted(requestID, attempt) }
	case "finished":
		return d.attemptEnded(m)
	case "client_left":
		requestID := m.requiredText("Job")
		return func() error { return d.receiver.ClientDisconnected(requestID) }
	case "fired":
		label := m.integer("Label")
		return func() error { return d.receiver.TimerFired(label) }
	case "check_result":
		server, ok, report := m.requiredText("Backend"), m.requiredText("Status") == "pass", m.loadReport()
		return func() error { return d.receiver.HealthChecked(server, ok, report) }
	case "peer_data":
		return d.gossipReceived(m)
	}
	m.fail("message", "unknown")
	return nil
}

func (d *decoder) batchStarted(m *message) func() error {
	d.inBatch = true
	now, number := m.number("MomentMs")/1000, m.requiredText("frame")
	return func() error {
		d.receiver.BatchStarted(now, number)
		return nil
	}
}

// beginList starts an endpoint list, whose entries follow as separate messages.
func (d *decoder) beginList(m *message) {
	d.list = m.integer("List")
	d.entriesLeft = m.integer("NodesList")
	if d.entriesLeft < 0 {
		m.fail("NodesList", "negative")
	}
	d.lists[d.list] = nil
}

func (d *decoder) readEntry(m *message) {
	d.entriesLeft--
	e := settings.Entry{Name: m.requiredText("Backend")}
	e.ZoneName = m.optionalText("Az")
	e.ModelName = m.optionalText("Flavor")
	e.State = lookUp(m, "StageState", endpointStates)
	e.StartedAt = m.optionalNumber("UpSinceMs") / 1000
	e.Cores = m.optionalNumber("Heft")
	e.Pod = int(m.optionalNumber("Pack"))
	d.lists[d.list] = append(d.lists[d.list], e)
}

func (d *decoder) endpointsListed(m *message) func() error {
	kind := lookUp(m, "How", listKinds)
	var entries []settings.Entry
	if kind != PollFailed {
		var ok bool
		if entries, ok = d.lists[m.integer("List")]; !ok {
			m.fail("List", "no such list")
		}
	}
	return func() error { return d.receiver.EndpointsListed(kind, entries) }
}

func (d *decoder) requestArrived(m *message) func() error {
	r := Request{ID: m.requiredText("Job"), ClassName: m.requiredText("Class")}
	r.TenantName = m.optionalText("Realm")
	r.KeyName = m.optionalText("Entity")
	r.Deadline = m.number("DeadlineMs") / 1000
	r.ExpectedWork = m.optionalNumber("ExpectedMs") / 1000
	r.ClientRetry = m.flag("AgainByClient")
	return func() error { return d.receiver.RequestArrived(r) }
}

func (d *decoder) attemptEnded(m *message) func() error {
	a := AttemptResult{
		RequestID:   m.requiredText("Job"),
		Number:      m.integer("Leg"),
		Outcome:     lookUp(m, "Status", outcomes),
		Latency:     m.number("LatencyMs") / 1000,
		RequestOver: m.flag("Over"),
	}
	return func() error { return d.receiver.AttemptEnded(a) }
}

// gossipReceived ignores a malformed gossip message: its sender may use another version of the gossip format, or the
// message may have been corrupted in transit.
func (d *decoder) gossipReceived(m *message) func() error {
	from, data := m.integer("Who"), m.requiredText("Data")
	return func() error {
		received, err := gossip.FromHex(data)
		if err != nil {
			return nil
		}
		return d.receiver.GossipReceived(from, received)
	}
}
