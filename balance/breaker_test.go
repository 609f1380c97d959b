package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBreakerOpensOnTheFailureShare(t *testing.T) {
	for _, c := range []struct {
		name, before string
		wait         float64
		after        string
		want         bool // admitted
	}{
		{"too few results", "fffff", 0, "", true},
		{"more than half failing", "ffffff", 0, "", false},
		{"successes before the first failure do not count", "ssssssssffffff", 0, "", false},
		{"exactly half failing", "fsfsfsfs", 0, "", true},
		{"a rejection leaves the breaker alone", "rrrrrrrrrr", 0, "", true},
		{"a canceled attempt does not count", "fffffcccc", 0, "", true},
		{"a success closes the breaker", "ffffffs", 0, "", true},
		{"the next failure opens it again", "ffffffsf", 0, "", false},
		{"a late answer is no failure", "llllllll", 0, "", true},
		{"the window resets", "fffff", breakerWindow + 1, "f", true},
		{"results within the window count", "fffff", breakerWindow - 1, "f", false},
		{"cooldown not over", "ffffff", breakerCooldown * 0.9, "", false},
		{"cooldown over", "ffffff", breakerCooldown*(1+cooldownJitter) + 0.1, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			proxy := startProxy(t, deployment(), 2)
			proxy.endAttempts(proxy.servers[0], c.before)
			proxy.clock += c.wait
			proxy.endAttempts(proxy.servers[0], c.after)
			proxy.now = proxy.clock
			assert.Equal(t, c.want, proxy.servers[0].breaker.admits(proxy.now))
		})
	}
}

func TestClassFailingAtOneServerIsPausedThereOnly(t *testing.T) {
	proxy := startProxy(t, deployment(Class{Name: "good"}, Class{Name: "bad"}), 2)
	countSelections := func(class int) (used [2]int) {
		for range 100 {
			s, _ := proxy.selectForClass(class)
			used[s.Index]++
		}
		return used
	}
	request := proxy.request(RequestInfo{Class: 1})
	for range minBreakerResults + 1 {
		proxy.endAttempts(proxy.servers[0], "sss")
		proxy.endAttempts(proxy.servers[1], "sss")
		proxy.recordOutcome(request, &attempt{server: proxy.servers[0]}, ServerError, 0)
		proxy.recordOutcome(request, &attempt{server: proxy.servers[1]}, Succeeded, 0.05)
	}
	assert.Positive(t, countSelections(0)[0], "the class that succeeds is still sent to the server")
	assert.Zero(t, countSelections(1)[0])
	proxy.now += breakerCooldown * (1 + cooldownJitter)
	assert.Positive(t, countSelections(1)[0], "trial after the cooldown")
	trial := &Request{balancer: proxy.Balancer, class: &proxy.classes[1], RequestInfo: RequestInfo{Class: 1}}
	proxy.send(trial, proxy.servers[0])
	assert.Zero(t, countSelections(1)[0], "only one trial at a time")
}

// Guards against a class breaker that never opens although most servers fail the class. As long as some servers serve
// the class, the failures must not count as shared by all servers, which would raise the threshold of the breaker.
func TestClassFailingAtMostServersIsPausedThere(t *testing.T) {
	for _, c := range []struct{ bad, paused int }{{7, 7}, {10, 0}} {
		proxy := startProxy(t, deployment(), 10)
		for _, s := range proxy.servers {
			proxy.endAttempts(s, "fsss") // starts the window of the breaker
		}
		proxy.clock += classBreakerWindow + 1
		for range minBreakerResults + 1 {
			for i, s := range proxy.servers {
				if i < c.bad {
					proxy.endAttempts(s, "f")
				} else {
					proxy.endAttempts(s, "s")
				}
			}
		}
		paused := 0
		for _, s := range proxy.servers {
			if s.classBreakers[0].paused {
				paused++
			}
		}
		assert.Equal(t, c.paused, paused)
	}
}

func TestSharedFailuresRaiseTheBar(t *testing.T) {
	proxy := startProxy(t, deployment(), 4)
	for range 40 {
		for _, s := range proxy.servers {
			proxy.endAttempts(s, "fffs") // all servers fail three in four attempts
		}
	}
	paused := 0
	for _, s := range proxy.servers {
		if s.breaker.paused {
			paused++
		}
	}
	assert.Zero(t, paused)
	proxy.endAttempts(proxy.servers[0], "ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff")
	proxy.endAttempts(proxy.servers[1], "sssssssssssssssssssssssssssssssssssssssssssssssssssssssssssssssssssss")
	proxy.endAttempts(proxy.servers[0], "f")
	assert.True(t, proxy.servers[0].breaker.paused, "failures of one server only still pause it")
}

func TestHangingServerIsPausedBeforeTheDeadline(t *testing.T) {
	proxy := startProxy(t, deployment(), 2)
	for _, s := range proxy.servers {
		proxy.endAttempts(s, "ssssss")
		s.limit.value = 20
	}
	var hung []*Request
	for range 40 {
		if request, _ := proxy.arrive(RequestInfo{}); request.attempts[0].server.Index == 0 {
			hung = append(hung, request)
		} else {
			request.AttemptEnded(proxy.clock, 0, Succeeded, 0.05, true)
		}
	}
	for _, request := range hung {
		request.TimerFired(0.2)
	}
	assert.True(t, proxy.servers[0].breaker.paused, "paused before the deadline of any attempt")
}

// Guards against breakers that depend on the order in which reported outcomes are recorded: only their share of
// failures may decide whether a server is paused or readmitted.
func TestReportedOutcomesPauseAndReadmit(t *testing.T) {
	for _, c := range []struct {
		succeeded, failed, after int // after: successes in a second report
		paused                   bool
	}{
		{100, 0, 0, false},
		{0, 5, 0, false},
		{0, 8, 0, true},
		{70, 30, 0, false},
		{400, 1600, 0, true},
		{10, 90, 1, false},
	} {
		proxy := startProxy(t, deployment(), 9)
		report := []ReportedOutcomes{{0, 0, c.succeeded, c.failed}, {77, 0, 5, 5}} // the last one is of an unknown server
		for i := 1; i < 9; i++ {
			report = append(report, ReportedOutcomes{i, 0, 95, 5})
		}
		proxy.OutcomesReported(1, report)
		proxy.OutcomesReported(2, []ReportedOutcomes{{0, 0, c.after, 0}})
		all := proxy.ServerStatuses(3)
		for i := range all {
			assert.Equal(t, i == 0 && c.paused, all[i].Paused, "%d: %+v", i, c)
		}
		assert.Equal(t, c.paused, proxy.ServerStatuses(20)[0].Trial, "trial after the cooldown")
		if c.paused {
			assert.Less(t, all[0].Payoff, all[1].Payoff)
		}
	}
}
