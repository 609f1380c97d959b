package simulation

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
)

// Each breach is counted under its own rule only. A permitted sequence of events that resembles a breach is not
// counted.
func TestAudit(t *testing.T) {
	classes := []balance.Class{
		{Name: "page"},
		{Name: "sign", Idempotency: balance.Keyed, DedupScope: balance.DedupPod, DedupWindow: .3},
		{Name: "sms", Idempotency: balance.NonIdempotent},
	}
	const page, sign, sms = 0, 1, 2
	for name, c := range map[string]struct {
		class, rule int // rule 0: no breach
		play        func(a *Audit, try int)
	}{
		"answered": {
			page, 0, func(a *Audit, n int) { a.AttemptReceived(1, n, 0, 0, 0); a.RequestAnswered(1.2, n, balance.NoReply) },
		},
		"never answered": {page, 1, func(a *Audit, n int) {}},
		"lost":           {page, 1, func(a *Audit, n int) { a.RequestLost(1, n) }},
		"client gone":    {page, 0, func(a *Audit, n int) { a.ClientGone(1, n) }},
		"answered late":  {page, 1, func(a *Audit, n int) { a.RequestAnswered(2.2, n, balance.Rejected) }},
		"just in time":   {page, 0, func(a *Audit, n int) { a.RequestAnswered(2.04, n, balance.Rejected) }},
		"answered twice": {page, 1, func(a *Audit, n int) {
			a.RequestAnswered(1, n, balance.Rejected)
			a.RequestAnswered(1, n, balance.Rejected)
		}},
		"sent after its answer": {
			page, 1, func(a *Audit, n int) { a.RequestAnswered(1, n, balance.Rejected); a.AttemptReceived(1.2, n, 0, 0, 0) },
		},
		"succeeded at no server": {page, 1, func(a *Audit, n int) { a.RequestAnswered(1, n, balance.NoReply) }},
		"attempt of an unknown try": {
			page, 1, func(a *Audit, n int) { a.RequestAnswered(1, n, balance.Rejected); a.AttemptReceived(1, n+7, 0, 0, 0) },
		},
		"sent to a disabled server": {page, 3, func(a *Audit, n int) {
			a.ServerDisabled(-9, 0, 4, true)
			a.ServerDisabled(1.5, 0, 4, true) // repeated call: the server still counts as disabled since -9
			a.AttemptReceived(1.9, n, 0, 4, 0)
			a.RequestAnswered(1.9, n, balance.NoReply)
		}},
		"disabled at another proxy": {page, 0, func(a *Audit, n int) {
			a.ServerDisabled(-9, 1, 4, true)
			a.AttemptReceived(1.9, n, 0, 4, 0)
			a.RequestAnswered(1.9, n, balance.NoReply)
		}},
		"disabled, then enabled": {page, 0, func(a *Audit, n int) {
			a.ServerDisabled(-9, 0, 4, true)
			a.ServerDisabled(1.8, 0, 4, false)
			a.AttemptReceived(1.9, n, 0, 4, 0)
			a.RequestAnswered(1.9, n, balance.NoReply)
		}},
		"idempotent, sent twice": {page, 0, func(a *Audit, n int) {
			a.AttemptReceived(1, n, 0, 0, 0)
			a.AttemptReceived(1, n, 0, 1, 0)
			a.RequestAnswered(1, n, balance.Rejected)
		}},
		"non-idempotent, sent twice": {sms, 2, func(a *Audit, n int) {
			a.AttemptReceived(1, n, 0, 0, 0)
			a.AttemptReceived(1, n, 0, 1, 0)
			a.RequestAnswered(1, n, balance.Failed)
		}},
		"non-idempotent, sent again after a rejection": {sms, 0, func(a *Audit, n int) {
			a.AttemptReceived(1, n, 0, 0, 0)
			a.AttemptRejected(n)
			a.AttemptReceived(1, n, 0, 1, 0)
			a.RequestAnswered(1, n, balance.Failed)
		}},
		"non-idempotent, rejected, never ran": {sms, 0, func(a *Audit, n int) {
			a.AttemptReceived(1, n, 0, 0, 0)
			a.AttemptRejected(n)
			a.RequestAnswered(1, n, balance.Rejected)
		}},
		"non-idempotent, rejected, may have run": {
			sms, 2, func(a *Audit, n int) { a.AttemptReceived(1, n, 0, 0, 0); a.RequestAnswered(1, n, balance.Rejected) },
		},
		"keyed, sent again in its group": {sign, 0, func(a *Audit, n int) {
			a.AttemptReceived(1, n, 0, 0, 5)
			a.AttemptReceived(1.2, n, 0, 1, 5)
			a.RequestAnswered(1.3, n, balance.NoReply)
		}},
		"keyed, sent again in another group": {sign, 2, func(a *Audit, n int) {
			a.AttemptReceived(1, n, 0, 0, 5)
			a.AttemptReceived(1.2, n, 0, 1, 6)
			a.RequestAnswered(1.3, n, balance.NoReply)
		}},
		"keyed, sent again past its window": {sign, 2, func(a *Audit, n int) {
			a.AttemptReceived(1, n, 0, 0, 5)
			a.AttemptReceived(1.4, n, 0, 1, 5)
			a.RequestAnswered(1.5, n, balance.NoReply)
		}},
		"draining, sent within the grace": {page, 0, func(a *Audit, n int) {
			a.MemberNotReady(.1, 0)
			a.ProxyNotified(.2, 0, 0)
			a.AttemptReceived(2.6, n, 0, 0, 0)
			a.ClientGone(3, n)
		}},
		"draining, sent past the grace": {page, 3, func(a *Audit, n int) {
			a.MemberNotReady(.1, 0)
			a.ProxyNotified(.2, 0, 0)
			a.AttemptReceived(2.8, n, 0, 0, 0)
			a.ClientGone(3, n)
		}},
		"draining, another proxy notified": {page, 0, func(a *Audit, n int) {
			a.MemberNotReady(.1, 0)
			a.ProxyNotified(.2, 1, 0)
			a.AttemptReceived(2.8, n, 0, 0, 0)
			a.ClientGone(3, n)
		}},
		"draining, sent past the notification deadline": {
			page, 3, func(a *Audit, n int) { a.MemberNotReady(.1, 0); a.AttemptReceived(8.7, n, 0, 0, 0); a.ClientGone(3, n) },
		},
		"crashed in slow start": {page, 4, func(a *Audit, n int) { a.ServerCrashed(1, 0); a.ClientGone(1, n) }},
	} {
		a := NewAudit(classes, .05, 2.5, 6)
		c.play(a, a.RequestSent(c.class, 2))
		a.Close(10)
		for rule := 1; rule <= 4; rule++ {
			assert.Equal(t, rule == c.rule, a.RulesBroken[rule] > 0, "%s: rule %d: %v", name, rule, a.FirstBreaches)
		}
	}
}
