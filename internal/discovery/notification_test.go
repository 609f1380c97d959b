package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// machine is the agent of a proxy's own machine, for a time of no use.
type machine struct {
	how        string
	from, till time.Time
	news       int // the version that it has from then on
}

func (m *machine) down() bool { now := time.Now(); return !now.Before(m.from) && now.Before(m.till) }

func (m *machine) dial(ctx context.Context, _ string) (net.Conn, error) {
	if m.down() && m.how == "refuses" {
		return nil, errors.New("refused")
	}
	if m.down() && m.how == "hangs" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ours, theirs := net.Pipe()
	go m.serve(theirs)
	return ours, nil
}

// serve is one watch.
func (m *machine) serve(end net.Conn) {
	defer end.Close()
	if _, err := end.Read(make([]byte, 1000)); err != nil {
		return
	}
	said := stream + line(1, true)
	if m.down() {
		switch m.how {
		case "resets":
			return
		case "silent for good":
			time.Sleep(time.Hour)
		case "silent after its head":
			io.WriteString(end, stream)
			time.Sleep(time.Hour)
		case "silent after half a list":
			io.WriteString(end, stream+chunk(`{"version":41,`))
			time.Sleep(time.Hour)
		case "says junk":
			io.WriteString(end, stream+chunk("junk\n"))
			return
		case "turns away":
			refuse(end)
			return
		default: // held, and answered at its return
			time.Sleep(time.Until(m.till))
		}
	}
	if !time.Now().Before(m.till) {
		said = stream + line(m.news, true)
	}
	for told := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		if said != "" {
			if _, err := io.WriteString(end, said); err != nil {
				return
			}
			said, told = "", time.Now()
		}
		if time.Since(told) >= 2*time.Second {
			said = chunk("\n")
		}
		if m.down() {
			if m.how == "resets" || m.how == "refuses" {
				return
			}
			time.Sleep(time.Hour) // danger: an open watch that has fallen silent stays so
		}
	}
}

// What an agent has counts as told from its return on, and a drain's grace may be as short as 2.5 s. Danger: the pause of a whole
// fleet, before a call to an agent that only this proxy asks, is longer than that.
func TestAgentComesBack(t *testing.T) {
	for _, how := range []string{"holds", "refuses", "hangs", "resets", "silent for good", "silent after its head", "silent after half a list", "says junk"} {
		worst := 0.0 // of a grace
		for _, bank := range []int{1, 8, 80, 350, 1024} {
			grace := map[int]float64{1: 0.3, 8: 1, 80: 2.5, 350: 1, 1024: 0.5}[bank]
			for _, length := range []time.Duration{100 * time.Millisecond, time.Second, 8 * time.Second, 30 * time.Second, 10 * time.Minute} {
				synctest.Test(t, func(t *testing.T) {
					log, _ := test.NewNullLogger()
					m := &machine{how: how, from: time.Now().Add(5300 * time.Millisecond), news: 43}
					m.till = m.from.Add(length)
					ctx, stop := context.WithCancel(t.Context())
					var heard time.Time
					w := &Watch{Addr: "agent:1", FleetSize: bank, DrainGrace: grace, Dial: m.dial, Log: log, OnConnected: func() {}, OnList: func(l List) {
						if l.Version == int64(m.news) && heard.IsZero() {
							heard = time.Now()
							assert.False(t, l.NotifiedAt.After(m.till), "it may have counted before it was heard")
						}
					}, Rand: rand.New(rand.NewPCG(1, uint64(bank))).Float64}
					go w.Run(ctx)
					time.Sleep(time.Until(m.till) + 10*time.Second)
					stop()
					synctest.Wait()
					assert.False(t, heard.IsZero(), "%s, bank %d, %v", how, bank, length)
					after := heard.Sub(m.till)
					silent := time.Until(m.from.Add(toDuration(countsFor))) + time.Since(m.till) // that it missed counts from then, if later
					worst = max(worst, (after-max(0, silent)).Seconds()/grace)
					time.Sleep(3 * time.Hour) // the sleepers' own end
				})
			}
		}
		t.Logf("%s: heard %.2f of a grace after it counts, at worst", how, worst)
		assert.Less(t, worst, 1.0, how)
	}
}

// Whatever else is allowed after a call that was rejected, a change counts 6 s after discovery has it and can be reached.
func TestAgentNoLongerTurnsAway(t *testing.T) {
	for _, bank := range []int{1, 8, 80, 350, 1024} {
		const grace = 0.5
		const most = countsFor + grace
		worst := 0.0
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				log, _ := test.NewNullLogger()
				m := &machine{how: "turns away", from: time.Now(), news: 43}
				m.till = m.from.Add(time.Duration(seed+1) * 3 * time.Second)
				ctx, stop := context.WithCancel(t.Context())
				var heard time.Time
				w := &Watch{Addr: "agent:1", FleetSize: bank, DrainGrace: grace, Dial: m.dial, Log: log, OnConnected: func() {},
					OnList: func(List) { heard = time.Now() }, Rand: rand.New(rand.NewPCG(seed, uint64(bank))).Float64}
				go w.Run(ctx)
				time.Sleep(time.Until(m.till) + toDuration(most))
				stop()
				synctest.Wait()
				assert.False(t, heard.IsZero(), "bank %d, turned away for %v", bank, m.till.Sub(m.from))
				worst = max(worst, heard.Sub(m.till).Seconds())
				time.Sleep(3 * time.Hour)
			})
		}
		t.Logf("bank of %d: heard %.2f s after discovery could be reached, at worst", bank, worst)
	}
}

func TestHearing(t *testing.T) {
	type step struct {
		at   float64
		what any // "begin", "word", or an Ending
		held int
		next float64 // with the mean chance
	}
	for name, c := range map[string]struct {
		bank  int
		steps []step
	}{
		"a watch lives, is lost and had again": {300, []step{{0, "begin", 0, 2}, {0.1, "word", 0, math.Inf(1)}, {9, "word", 0, math.Inf(1)},
			{12, Broken, 0, 12.05}, {12.05, "begin", 0, 14.05}, {12.1, "word", 0, math.Inf(1)}}},
		"nobody there": {300, []step{{0, "begin", 0, 2}, {0, Refused, 0, 0.1}, {0.1, "begin", 0, 2.1}, {0.1, Refused, 0, 0.3},
			{0.3, "begin", 0, 2.3}, {0.3, Refused, 0, 0.7}, {0.7, "begin", 0, 2.7}, {0.7, Refused, 0, 1.2}, {1.2, "begin", 0, 3.2},
			{2.2, Refused, 0, 2.25}}},
		"silence: others beside it": {300, []step{{0, "begin", 0, 2}, {2, "begin", 0, 4}, {3, Refused, 1, 4}, {9.5, "begin", 0, 11.5}, {10, NoResponse, 1, 11.5}}},
		"turned away at size": {300, []step{{0, "begin", 0, 2}, {0.1, Rejected, 0, 4}, {4, "begin", 0, 8}, {4, Rejected, 0, 8}, {8, "begin", 0, 12},
			{10, Rejected, 0, 38}, {38, "begin", 0, 68}, {38, Rejected, 0, 42}, {42, "begin", 0, 46}, {46, "begin", 0, 50}, {47, Refused, 1, 50}, {49, NoResponse, 0, 49}}},
		"turned away, 80":    {80, []step{{0, "begin", 0, 2}, {2, Rejected, 0, 4}, {4, "begin", 0, 8}, {6, Rejected, 0, 8}, {8, "begin", 0, 12}, {8, Rejected, 0, 12}}},
		"turned away, alone": {1, []step{{0, "begin", 0, 2}, {0, Rejected, 0, 0.1}, {0.1, "begin", 0, 4.1}, {0.1, Rejected, 0, 0.2}}},
	} {
		h := NewNotificationClock(0, c.bank, 2.5)
		for i, s := range c.steps {
			switch what := s.what.(type) {
			case CallResult:
				h.CallEnded(s.at, what, s.held, 0.5)
			default:
				if what == "begin" {
					h.CallStarted(s.at)
				} else {
					h.EventReceived(s.at, i == 1)
				}
			}
			assert.InDelta(t, s.next, h.NextCall(), 1e-9, "%s: step %d", name, i)
		}
	}
}

// However calls end, the next is due in time, unless discovery itself turns callers away: then at the fleet's pace.
func TestHearingNeverWaitsLong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bank := rapid.IntRange(1, 1024).Draw(t, "bank")
		now, held := 0.0, 0
		h := NewNotificationClock(now, bank, rapid.Float64Range(0, 10).Draw(t, "grace"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			next := h.NextCall()
			if held == 0 || rapid.Bool().Draw(t, "beside") && !math.IsInf(next, 1) {
				now = max(now, next)
				h.CallStarted(now)
				held++
				continue
			}
			now += rapid.Float64Range(0, answerFor).Draw(t, "passes")
			if next := h.NextCall(); next < now {
				now = next
			}
			held--
			how := CallResult(rapid.IntRange(int(Refused), int(Rejected)).Draw(t, "how"))
			h.CallEnded(now, how, held, rapid.Float64Range(0, 1).Draw(t, "chance"))
			most := besideFor
			if h.turned > 0 {
				most = 1.5 * max(turnedMost, h.turned)
				if h.bank <= turnedMost {
					most = countsFor
				}
			}
			if held == 0 && h.NextCall()-now > most+1e-9 {
				t.Fatalf("%v later, bank %d, how %v", h.NextCall()-now, bank, how)
			}
			if how != Rejected && h.turned == 0 && h.NextCall()-now > besideFor+1e-9 {
				t.Fatalf("nobody was turned away, and the next call is %v later", h.NextCall()-now)
			}
		}
	})
}

func TestValues(t *testing.T) {
	indented := "{\n  \"version\": 7,\n  \"full\": true,\n  \"servers\": [\n    " + entry + "\n  ]\n}"
	for name, c := range map[string]struct {
		in       string
		versions []int64
		err      string
	}{
		"a line each":        {`{"version":1,"servers":[]}` + "\n\n" + `{"version":2,"servers":[]}` + "\n", []int64{1, 2}, "ended by discovery"},
		"indented":           {indented + "\n\n" + indented, []int64{7, 7}, "ended by discovery"},
		"several on a line":  {`{"version":1,"servers":[]}{"version":2,"servers":[]} {"version":3,"servers":[]}`, []int64{1, 2, 3}, "ended by discovery"},
		"braces in strings":  {`{"version":1,"x":"}\"{\\","servers":[]}` + `{"version":2,"servers":[]}`, []int64{1, 2}, "ended by discovery"},
		"junk between":       {`{"version":1,"servers":[]}` + "\nx", []int64{1}, "'x' where an object begins"},
		"an array":           {`[]`, nil, "'[' where an object begins"},
		"half":               {`{"version":1,"servers":[`, nil, "unexpected EOF"},
		"a bad entry":        {`{"version":1,"servers":[]}` + `{"version":2,"servers":[{"id":"s-9","state":"odd"}]}`, []int64{1}, `"s-9": state: unknown: "odd"`},
		"without an end":     {`{"x":"` + string(make([]byte, valueMost)), nil, "token too long"},
		"nothing but spaces": {" \r\n\t\n", nil, "ended by discovery"},
	} {
		for _, size := range []int{1, 7, 100, 1 << 20} {
			if len(c.in) > 1<<20 && size < 1<<20 {
				continue
			}
			versions, err := followed(c.in, size)
			assert.Equal(t, c.versions, versions, "%s, in pieces of %d", name, size)
			assert.ErrorContains(t, err, c.err, "%s, in pieces of %d", name, size)
		}
	}
}

// followed is what a watch hears of a stream in pieces, and how it ends.
func followed(in string, size int) (versions []int64, end error) {
	w := &Watch{Addr: "agent:1", Dial: func(context.Context, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go func() {
			defer theirs.Close()
			theirs.Read(make([]byte, 1000))
			io.WriteString(theirs, stream)
			for left := in; left != ""; {
				n := min(size, len(left))
				fmt.Fprintf(theirs, "%x\r\n%s\r\n", n, left[:n])
				left = left[n:]
			}
			io.WriteString(theirs, "0\r\n\r\n")
		}()
		return ours, nil
	}}
	_, end = w.follow(context.Background(), 0, func(s word) {
		if s.list != nil {
			versions = append(versions, s.list.Version)
		}
	})
	return versions, end
}

func FuzzValues(f *testing.F) {
	f.Add(`{"version":1,"servers":[]}`, 3)
	f.Add("{\n \"version\": 1,\n \"servers\": [\n"+entry+"\n]}\n\n{}", 1)
	f.Fuzz(func(t *testing.T, in string, size int) {
		if len(in) > 1<<16 {
			return
		}
		whole, _ := followed(in, max(len(in), 1))
		split, _ := followed(in, max(1, size%64))
		assert.Equal(t, whole, split, "however it is split")
	})
}
