package emulator

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
)

func TestFleet(t *testing.T) {
	f := NewFleet(1)
	spec := plainSpec()
	spec.SlowStartDuration, spec.SlowStartFraction = 10, .5
	for range 3 {
		f.AddPosition(0, MemberSpec{Name: "s", Zone: "a", Spec: spec}, true)
	}
	version := f.Version
	f.Member(0).Receive(1, Job{Ref: 1, Work: 5})
	effect, followUps := f.Apply(1, Change{Kind: ChangeReplaceInPlace, Position: 0, Value: 2})
	assert.Equal(
		t,
		[]any{balance.Draining, true, 2},
		[]any{f.Members[0].State, effect.ListChanged, len(followUps)},
		"a server to be replaced drains and keeps serving",
	)
	assert.Empty(t, effect.Completions)
	effect, _ = f.Apply(3, followUps[0])
	assert.Equal(t, []any{balance.Removed, true}, []any{f.Members[0].State, effect.ResetConnections})
	assert.Equal(t, []outcome{{1, balance.ConnectionLost, 3}}, outcomes(effect.Completions), "the running job is lost")
	effect, _ = f.Apply(3, followUps[1])
	m := f.Member(0)
	assert.Equal(
		t,
		[]any{true, 3, 0, 3.0, "s.3"},
		[]any{effect.ListChanged, len(f.Members) - 1, m.AddressIndex, m.StartedAt(), m.Name},
		"the replacement listens on the old address",
	)
	f.Apply(4, Change{Kind: ChangeReplace, Position: 1, Value: 1})
	assert.Equal(
		t,
		[]any{3, balance.Draining},
		[]any{f.Member(1).AddressIndex, f.Members[1].State},
		"the replacement has a new address while the old server drains",
	)
	f.Apply(5, Change{Kind: ChangeCrash, Position: 2, Value: 1})
	changed := f.Version
	effect = f.Reconcile(2, f.Members[2].Advance(7))
	assert.Equal(
		t,
		[]any{true, 6.0, changed + 1},
		[]any{effect.ListChanged, f.Members[2].StartedAt(), f.Version},
		"the restarted server is listed with its new start time",
	)
	assert.True(t, slices.ContainsFunc(f.Members, func(m *Member) bool { return m.ChangedAfter(version) }))
}
