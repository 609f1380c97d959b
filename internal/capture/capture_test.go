package capture

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lockloom/balance"
)

// live is one captured pool under random calls, as an owner makes them.
type live struct {
	*Balancer
	now  float64
	draw *rand.Rand
	hand []*Request
	legs map[*Request]int
	ref  int
}

func deployment() balance.Deployment {
	return balance.Deployment{Seed: 7, Proxies: 2, MaxAttempts: 3, CancelAllowed: true, HedgingAllowed: true, SlowStartFraction: .2, SlowStartDuration: 20, CrashFactor: 3, CrashDuration: 2, NotificationDeadline: 10,
		Gossip: true, HealthChecks: true, GossipCost: .01, HealthCheckCost: .01, CacheAffinity: true, MaxRetryAfter: 1, Classes: []balance.Class{
			{Name: "page", LatencyObjective: .3, Deadline: 1, PriorityWeight: 1}, {Name: "sms", Idempotency: balance.NonIdempotent, LatencyObjective: .3, Deadline: 1, PriorityWeight: 4},
			{Name: "sign", Idempotency: balance.Keyed, DedupScope: balance.DedupZone, DedupWindow: 2, LatencyObjective: .3, Deadline: 1, PriorityWeight: 2}}}
}

func begin(t require.TestingT, r *Recorder, name string, seed uint64) *live {
	b, err := balance.New(deployment(), 100)
	require.NoError(t, err)
	v := &live{Balancer: r.Balancer(name, b), now: 100, draw: rand.New(rand.NewPCG(seed, 1)), legs: map[*Request]int{}}
	v.list()
	return v
}

func (v *live) list() {
	var all []balance.Endpoint
	for i := range 6 {
		if v.draw.Float64() < .9 {
			all = append(all, balance.Endpoint{Index: i, NameHash: uint64(i + 1), Zone: i % 2, Pod: i / 2, State: balance.EndpointState(v.draw.IntN(2) * v.draw.IntN(2)),
				Cores: 2, StartedAt: float64(v.draw.IntN(2)) * 90})
		}
	}
	v.EndpointsUpdated(v.now, true, v.ref == 0, all)
}

// step makes one call, drawn.
func (v *live) step() {
	v.now += v.draw.ExpFloat64() * .004
	sent := func(l *Request, o *balance.Actions) {
		for _, s := range o.Requests {
			if s.Send && s.Ref == l.RequestInfo.Ref {
				v.legs[l]++
			}
		}
	}
	var l *Request
	if len(v.hand) > 0 {
		l = v.hand[v.draw.IntN(len(v.hand))]
	}
	switch n := v.draw.IntN(40); {
	case n < 14 || l == nil:
		v.ref++
		a := balance.RequestInfo{Ref: v.ref, Class: v.draw.IntN(3), Tenant: -1, Deadline: v.now + 1, ExpectedWork: v.draw.Float64() * .05}
		if v.draw.IntN(2) == 0 {
			a.Key = v.draw.Uint64N(20) + 1
		}
		l, o := v.RequestArrived(v.now, a, fmt.Sprint("id", v.ref))
		sent(l, o)
		v.hand = append(v.hand, l)
	case n < 30:
		if k := v.legs[l]; k > 0 {
			outcome := balance.Outcome(v.draw.IntN(9) * v.draw.IntN(2))
			sent(l, l.AttemptEnded(v.now, v.draw.IntN(k), outcome, v.draw.Float64()*.3, outcome == balance.Succeeded))
		}
	case n < 32:
		l.ClientDisconnected(v.now)
	case n < 34:
		sent(l, l.TimerFired(v.now))
	case n < 36:
		v.TimerFired(v.now)
	case n == 36:
		v.HealthChecked(v.now, v.draw.IntN(6), true, balance.LoadReport{InFlight: 3, Utilization: .5})
	case n == 37:
		v.GossipReceived(v.now, 1, balance.GossipMessage{Rate: 9, Observations: []balance.Observation{{NameHash: 2, Class: 0, Age: .1, Value: .4}}})
	case n == 38 && v.draw.IntN(20) == 0:
		v.list()
	case n == 39:
		v.ServerStatuses(v.now)
		v.OutcomesReported(v.now, []balance.ReportedOutcomes{{Endpoint: 1, Succeeded: 3, Failed: 1}})
	}
	v.hand = slices.DeleteFunc(v.hand, func(l *Request) bool {
		if l.Done() {
			delete(v.legs, l)
		}
		return l.Done()
	})
}

func openFile(name string) (io.ReadCloser, error) { return os.Open(name) }

// replayed replays a folder.
func replayed(t require.TestingT, dir string) *Player {
	files, err := Files(dir)
	require.NoError(t, err)
	p := &Player{Warn: func(text string) { require.Fail(t, text) }}
	require.NoError(t, p.Play(files, openFile))
	return p
}

// What was recorded has its decisions again, ten times, over several segments and with two pools, whatever was called.
func TestReplay(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "")
		require.NoError(t, err)
		rec, err := Open(Options{Dir: dir, Proxy: "n0", StartOn: true, WaitForWriter: true, MaxSegmentBytes: int64(rapid.IntRange(500, 20_000).Draw(r, "segment"))})
		require.NoError(t, err)
		a := begin(t, rec, "a", rapid.Uint64().Draw(r, "seed"))
		b := begin(t, rec, "b", 2)
		for i := range rapid.IntRange(1, 150).Draw(r, "calls") {
			[]*live{a, b}[i%2].step()
			if i%20 == 7 {
				a.SetLocalDelay(1+float64(i%3), float64(i%5)/100)
			}
		}
		require.NoError(t, rec.Close())
		for range 2 {
			assert.Equal(r, rec.Calls.Load(), replayed(r, dir).Played, "all that was recorded")
		}
		assert.Zero(r, rec.Gaps.Load())
		os.RemoveAll(dir)
	})
	rec, _, dir := record(t, 3000, Options{MaxSegmentBytes: 20_000, WaitForWriter: true})
	require.NoError(t, rec.Close())
	for range 10 {
		assert.Equal(t, rec.Calls.Load(), replayed(t, dir).Played)
	}
}

// record writes one capture.
func record(t *testing.T, calls int, o Options) (*Recorder, *live, string) {
	o.Dir, o.Proxy, o.StartOn = t.TempDir(), "n0", true
	rec, err := Open(o)
	require.NoError(t, err)
	v := begin(t, rec, "a", 5)
	for range calls {
		v.step()
	}
	return rec, v, o.Dir
}

// A file cut at any byte, as by a kill, is read to its last whole block; a flipped bit is named, and what cannot be proved is not replayed.
func TestCutAndFlipped(t *testing.T) {
	rec, _, dir := record(t, 800, Options{WaitForWriter: true})
	require.NoError(t, rec.Close())
	files, err := Files(dir)
	require.NoError(t, err)
	require.Len(t, files, 1)
	text, err := os.ReadFile(files[0])
	require.NoError(t, err)
	play := func(text []byte) (*Player, string, error) {
		said := ""
		p := &Player{Warn: func(s string) { said += s + "\n" }}
		err := Read(bytes.NewReader(text), p)
		return p, said, err
	}
	p, _, err := play(text)
	require.NoError(t, err)
	last := uint64(0)
	for at := len(magic); at < len(text); at += 41 {
		q, _, err := play(text[:at])
		require.NoError(t, err, at)
		assert.GreaterOrEqual(t, q.Played, last)
		last = q.Played
	}
	assert.Greater(t, last, uint64(0))
	assert.LessOrEqual(t, last, p.Played)
	for at := len(magic); at < len(text); at += 101 {
		bad := bytes.Clone(text)
		bad[at] ^= 4
		q, said, err := play(bad)
		assert.True(t, err != nil || said != "", "a flipped bit at %d is named", at)
		assert.LessOrEqual(t, q.Played, p.Played)
		assert.Zero(t, q.Different)
	}
}

// Other orders than those recorded stop a replay, with both sides.
func TestDiffers(t *testing.T) {
	rec, v, dir := record(t, 500, Options{WaitForWriter: true})
	v.Balancer.Balancer.RequestArrived(v.now, balance.RequestInfo{Ref: 1 << 20, Deadline: v.now + 1, Tenant: -1}) // past the recorder
	for range 500 {
		v.step()
	}
	require.NoError(t, rec.Close())
	files, _ := Files(dir)
	err := (&Player{}).Play(files, openFile)
	require.Error(t, err)
	assert.Regexp(t, `call \d+, [a-z-]+ at \d+\.\d+ on pool "a": the actions differ: digest [0-9a-f]{4} was recorded, [0-9a-f]{4} came of it`, err.Error())
	p := &Player{Loose: true}
	require.NoError(t, p.Play(files, openFile))
	assert.Greater(t, p.Different, uint64(0))
}

// Danger: a disk that is slow must not hold up the owner. What is missing is counted, and what follows stands alone.
func TestGaps(t *testing.T) {
	rec, v, dir := record(t, 100, Options{})
	rec.writer.mu.Lock() // the writer stands still
	for n := 0; rec.Gaps.Load() == 0; n++ {
		require.Less(t, n, 1_000_000)
		v.step()
	}
	for range 1000 {
		v.step()
	}
	rec.writer.mu.Unlock()
	require.Eventually(t, func() bool { v.step(); return rec.recording }, 10*time.Second, time.Millisecond)
	for range 1000 {
		v.step()
	}
	require.NoError(t, rec.Close())
	files, _ := Files(dir)
	warned := ""
	p := &Player{Warn: func(s string) { warned += s }}
	require.NoError(t, p.Play(files, openFile))
	assert.Contains(t, warned, "calls or more are missing")
	assert.Greater(t, p.Played, uint64(1000))
}

func TestFailingDisk(t *testing.T) {
	log, hook := test.NewNullLogger()
	rec, v, dir := record(t, 100, Options{Log: log, MaxSegmentBytes: 2000})
	require.Eventually(t, func() bool { return len(rec.writer.chunks) == 0 }, 5*time.Second, time.Millisecond)
	require.NoError(t, os.RemoveAll(dir))
	for range 5000 {
		v.step()
	}
	require.Eventually(t, rec.writer.failed.Load, 5*time.Second, time.Millisecond)
	v.step()
	rec.Set(true)
	assert.False(t, rec.On(), "it has ended")
	rec.Close()
	assert.Len(t, hook.AllEntries(), 1)
}

// What is kept in memory is the newest, stands alone, and is written when it is asked for or a trigger fires.
func TestRing(t *testing.T) {
	log, hook := test.NewNullLogger()
	rec, v, dir := record(t, 20_000, Options{WaitForWriter: true, RingBytes: 60_000, MaxSegmentBytes: 20_000, Log: log, RejectedShare: .01})
	rec.Flush()
	require.Eventually(t, func() bool { return len(rec.writer.chunks) == 0 }, 5*time.Second, time.Millisecond)
	n, err := rec.Dump()
	require.NoError(t, err)
	assert.Greater(t, n, 1)
	p := replayed(t, dir)
	assert.Greater(t, p.Played, uint64(100))
	assert.Less(t, p.Played, rec.Calls.Load())
	for now := v.now; v.now < now+3; {
		v.step()
	}
	require.Eventually(t, func() bool { return len(hook.AllEntries()) > 0 }, 5*time.Second, time.Millisecond, "many are dismissed")
	assert.Equal(t, "rejections above their share", hook.LastEntry().Data["why"])
	require.NoError(t, rec.Close())
}

// Files of a proxy stay within their total; another's are let alone.
func TestTotal(t *testing.T) {
	rec, v, dir := record(t, 100, Options{MaxSegmentBytes: 4000, MaxTotalBytes: 30_000})
	other := filepath.Join(dir, "other-1-000001"+fileSuffix)
	require.NoError(t, os.WriteFile(other, make([]byte, 50_000), 0o600))
	for range 30_000 {
		v.step()
	}
	require.NoError(t, rec.Close())
	files, _ := Files(dir)
	sum := int64(0)
	for _, f := range files {
		if info, err := os.Stat(f); err == nil && f != other {
			sum += info.Size()
		}
	}
	assert.FileExists(t, other)
	assert.Greater(t, sum, int64(5_000))
	assert.Less(t, sum, int64(60_000))
}

func compressed(t *testing.T, text string) []byte {
	t.Helper()
	out, err := newCompressor().compress([]byte(text))
	require.NoError(t, err)
	return out
}

func TestNoCapture(t *testing.T) {
	for text, says := range map[string]string{"": "no capture", "hello, world, this is no capture": "no capture",
		string(appendBlock([]byte(magic), blockHead, []byte(`{"format":9}`))):                                                                        "format 9, this program reads 1",
		string(appendBlock(appendBlock([]byte(magic), blockHead, []byte(`{"format":1,"module":7,"program":"v0"}`)), blockState, compressed(t, "x"))): "made by a program (v0) whose decisions have another form"} {
		assert.ErrorContains(t, Read(strings.NewReader(text), &Player{}), says)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(magic))
	f.Add(appendBlock(appendBlock([]byte(magic), blockHead, []byte(`{"format":1}`)), blockCalls, []byte{1, 2, 3}))
	f.Fuzz(func(t *testing.T, text []byte) { Read(bytes.NewReader(text), &Player{Loose: true}) })
}

// BenchmarkRecord tells what a call costs with and without a capture, and how many bytes a request takes.
func BenchmarkRecord(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint("on=", on), func(b *testing.B) {
			rec, err := Open(Options{Dir: b.TempDir(), Proxy: "n0", StartOn: on})
			require.NoError(b, err)
			v := begin(b, rec, "a", 5)
			for b.Loop() {
				v.step()
			}
			rec.Close()
			b.ReportMetric(float64(rec.Bytes())/float64(v.ref), "bytes/lookup")
			b.ReportMetric(float64(rec.Gaps.Load()), "gaps")
		})
	}
}

// BenchmarkReplay tells how many calls a second are replayed.
func BenchmarkReplay(b *testing.B) {
	dir := b.TempDir()
	rec, err := Open(Options{Dir: dir, Proxy: "n0", StartOn: true, WaitForWriter: true})
	require.NoError(b, err)
	v := begin(b, rec, "a", 5)
	for range 200_000 {
		v.step()
	}
	rec.Close()
	played := uint64(0)
	for b.Loop() {
		played += replayed(b, dir).Played
	}
	b.ReportMetric(float64(played)/b.Elapsed().Seconds(), "calls/s")
}
