// Package settings reads what a deployment says of itself, and gives its names the small numbers and marks
// that the decisions know them by. The bench's wire and the proxy share it, so that both are told alike.
package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lockloom/balance"
)

// Settings is a deployment with what only its sockets need. Times are in seconds.
type Settings struct {
	balance.Deployment
	Zones                []string // numbered as they are listed
	StreamsPerConnection int      // requests that a connection to a server carries at once, at most
	ConnectTimeout       float64  // a connection that is not up by then counts as never coming up; 0: not told
	DrainGrace           float64  // from being told that a server drains or is gone to the last send there
}

// Fields of a load report that the decisions know.
const (
	fieldHeld = "outstanding"
	fieldBusy = "utilization"
	untold    = -1
	mostTold  = 1e6 // danger: a wild number would be taken for a load
)

var (
	kinds = map[string]balance.Idempotency{"retryable": balance.Idempotent, "dedup": balance.Keyed,
		"fragile": balance.NonIdempotent}
	scopes = map[string]balance.DedupScope{"all": balance.DedupAll, "zone": balance.DedupZone, "cell": balance.DedupPod}
)

// Read takes the figures from values by path, lists with their length under .count. Unknown ones are skipped.
func Read(values map[string]string, seed uint64) (Settings, error) {
	e := env{values: values}
	f := Settings{
		Zones:                strings.Split(values["Zones"], ","),
		StreamsPerConnection: 1,
		ConnectTimeout:       e.num("Ceilings.ConnectTimeoutMs") / 1000,
		DrainGrace:           e.num("Rules.StopSendingWithinMs") / 1000,
	}
	f.Deployment = balance.Deployment{
		Seed:                 seed,
		Self:                 int(e.num("SlotNo")),
		Zone:                 slices.Index(f.Zones, values["Zone"]),
		Sidecar:              values["KindOfService"] == "mesh",
		Gossip:               e.bool("Ceilings.PeerMessages"),
		HealthChecks:         e.bool("Ceilings.Probes") && values["Feedback.Via"] == "on_probe" && tells(values["Feedback.Fields"]),
		ConnectionCost:       e.num("Tariffs.Connection"),
		HandshakeCost:        e.num("Tariffs.Handshake"),
		ServerIdleTimeout:    e.num("Ceilings.ConnIdleMs") / 1000,
		GossipCost:           e.num("Tariffs.Peer"),
		HealthCheckCost:      e.num("Tariffs.Probe"),
		Proxies:              int(e.num("ReplicasOfMe")),
		WeightByWork:         values["ValuePer"] == "work",
		MaxAttempts:          int(e.num("Ceilings.MaxLegs")),
		CancelAllowed:        e.bool("Ceilings.Cancel"),
		HedgingAllowed:       e.bool("Ceilings.ParallelTries"),
		CacheAffinity:        e.bool("FamilyInfo.WarmKeys"),
		RemovalIsAdvisory:    e.bool("Rules.GoneIsAdvice"),
		PollsEndpoints:       values["Discovery"] == "subscribe",
		NotificationDeadline: e.num("Rules.AskEveryMs") / 1000,
		SlowStartFraction:    e.num("Rules.ColdFrom"),
		SlowStartDuration:    e.num("Rules.ColdMs") / 1000,
		CrashFactor:          e.num("Rules.FallMultiple"),
		CrashDuration:        e.num("Rules.OverloadForMs") / 1000,
	}
	if _, told := values["Ceilings.StreamsPerConn"]; told {
		f.StreamsPerConnection = int(e.num("Ceilings.StreamsPerConn"))
	}
	if e.bool("Ceilings.RetryAfter") {
		f.MaxRetryAfter = e.num("Ceilings.MaxRetryAfterMs") / 1000
	}
	for i := range int(e.num("Profiles.count")) {
		p := fmt.Sprintf("Profiles.%d.", i)
		t := balance.Class{
			Name:             values[p+"Name"],
			DedupWindow:      e.num(p+"WindowMs") / 1000,
			LatencyObjective: e.num(p+"DueTimeMs") / 1000,
			Deadline:         e.num(p+"HardStopMs") / 1000,
			PriorityWeight:   e.num(p + "Value"),
		}
		t.Idempotency = choice(&e, p+"Effect", kinds)
		if t.Idempotency == balance.Keyed {
			t.DedupScope = choice(&e, p+"DedupScope", scopes)
		}
		f.Classes = append(f.Classes, t)
	}
	for i := range int(e.num("Realms.count")) {
		p := fmt.Sprintf("Realms.%d.", i)
		f.Tenants = append(f.Tenants, balance.Tenant{Name: values[p+"Name"], Quota: e.num(p + "QuotaPerS")})
	}
	return f, e.err
}

// tells says whether reports of these fields are worth their probes. Danger: a load says how full a server is only beside the
// share of its cores in use; without it two cores count as one, and half of what the servers bear is rejected.
func tells(fields string) bool {
	list := strings.Split(fields, ",")
	return slices.Contains(list, fieldHeld) && slices.Contains(list, fieldBusy)
}

// ParseLoadReport reads a load report, name:value with commas between. Fields that are not known, and those that are no
// numbers, tell nothing.
func ParseLoadReport(text string) balance.LoadReport {
	r := balance.LoadReport{InFlight: untold, Utilization: untold}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, ":")
		x, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(x >= 0) || x > mostTold {
			continue
		}
		switch strings.TrimSpace(name) {
		case fieldHeld:
			r.InFlight = x
		case fieldBusy:
			r.Utilization = x
		}
	}
	return r
}

// env is the values and the first thing found wrong with them.
type env struct {
	values map[string]string
	err    error
}

func (e *env) fail(path, what, value string) {
	if e.err == nil {
		e.err = fmt.Errorf("%s: %s: %q", path, what, value)
	}
}

func (e *env) num(path string) float64 {
	v, ok := e.values[path]
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil {
		e.fail(path, "not a number", v)
	}
	return x
}

func (e *env) bool(path string) bool {
	v, ok := e.values[path]
	if ok && v != "true" && v != "false" && v != "1" && v != "0" {
		e.fail(path, "not true or false", v)
	}
	return v == "true" || v == "1"
}

func choice[T any](e *env, path string, words map[string]T) T {
	w, ok := words[e.values[path]]
	if !ok {
		e.fail(path, "unknown", e.values[path])
	}
	return w
}
