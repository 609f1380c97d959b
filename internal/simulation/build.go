package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/fakeserver"
	"lockloom/internal/loadgen"
	"lockloom/internal/settings"
)

// pools are the numbers of the server groups that are pools; -1 alone: all groups are one pool.
func (s *Scenario) pools() []int {
	if !s.PlainHTTP() {
		return []int{-1}
	}
	var list []int
	for i, g := range s.Servers {
		if slices.ContainsFunc(s.Classes, func(t Class) bool { return t.Pool == g.Name }) {
			list = append(list, i)
		}
	}
	return list
}

// Operator is the operator file of a proxy with plain HTTP clients: a route for each class, a pool for each group.
func (s *Scenario) Operator(listen string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# of the scenario %s\n[[listener]]\naddress = %q\n", s.Name, listen)
	for _, g := range s.pools() {
		fmt.Fprintf(&b, "[[pool]]\nname = %q\nkinds = [%q]\n", s.Servers[g].Name, s.Servers[g].Model)
	}
	for _, t := range s.Classes {
		fmt.Fprintf(
			&b,
			"[[tariff]]\nname = %q\ndue = %v\nhard_stop = %v\nvalue = %v\n",
			t.Name,
			t.LatencyObjective,
			t.Deadline,
			t.PriorityWeight,
		)
		if t.DedupWindow > 0 {
			fmt.Fprintf(&b, "scope = %q\nwindow = %v\n", t.DedupScope, t.DedupWindow)
		}
		fmt.Fprintf(&b, "[[route]]\nname = %q\nunder = %q\npool = %q\ntariff = %q\n", t.Name, "/"+t.Name, t.Pool, t.Name)
	}
	return []byte(b.String())
}

// Workload is what the scenario's clients want.
func (s *Scenario) Workload() loadgen.Workload {
	m := loadgen.Workload{
		Rate:         s.Arrivals.Rate,
		Duration:     s.Seconds,
		KeyCount:     s.Keys.Count,
		ZipfExponent: s.Keys.ZipfExponent,
	}
	for _, p := range s.Arrivals.Phases {
		m.Phases = append(
			m.Phases,
			loadgen.Phase{
				At:            p.At,
				Duration:      p.Duration,
				Shape:         shapes[p.Shape],
				Factor:        p.Factor,
				BurstInterval: p.BurstInterval,
				BurstDuration: p.BurstDuration,
			},
		)
	}
	for _, t := range s.Classes {
		m.Classes = append(
			m.Classes,
			loadgen.ClassLoad{Weight: t.Weight, Work: t.Work, WorkVariation: t.WorkVariation, KeyedFraction: t.KeyedFraction},
		)
	}
	for _, c := range s.Tenants {
		m.TenantWeights = append(m.TenantWeights, c.Weight)
	}
	return m
}

// Settings are the settings of each proxy.
func (s *Scenario) Settings(seed uint64) settings.Settings {
	d := &s.Deployment
	f := settings.Settings{ConnectTimeout: d.ConnectTimeout, DrainGrace: d.DrainGrace, Zones: s.zones()}
	f.Deployment = balance.Deployment{
		Seed:                 seed,
		Proxies:              s.ProxyFleet.Count,
		MaxAttempts:          d.MaxAttempts,
		CancelAllowed:        d.CancelAllowed,
		HedgingAllowed:       d.HedgingAllowed,
		MaxRetryAfter:        d.MaxRetryAfter,
		SlowStartFraction:    d.SlowStartFraction,
		SlowStartDuration:    d.SlowStartDuration,
		CrashFactor:          d.CrashFactor,
		CrashDuration:        d.CrashDuration,
		NotificationDeadline: d.NotificationDeadline,
		ServerIdleTimeout:    d.IdleTimeout,
	}
	for _, t := range s.Classes {
		f.Classes = append(
			f.Classes,
			balance.Class{
				Name:             t.Name,
				Idempotency:      idempotencies[t.Idempotency],
				DedupScope:       scopes[t.DedupScope],
				DedupWindow:      t.DedupWindow,
				LatencyObjective: t.LatencyObjective,
				Deadline:         t.Deadline,
				PriorityWeight:   t.PriorityWeight,
			},
		)
	}
	for _, c := range s.Tenants {
		f.Tenants = append(f.Tenants, balance.Tenant{Name: c.Name, Quota: c.Quota})
	}
	for _, g := range s.Servers {
		f.CacheAffinity = f.CacheAffinity || g.CacheSize > 0
	}
	return f
}

// zones are the zones of the servers, in the order of their first use.
func (s *Scenario) zones() []string {
	var zones []string
	seen := map[string]bool{}
	for _, g := range s.Servers {
		for _, z := range g.Zones {
			if !seen[z] {
				zones, seen[z] = append(zones, z), true
			}
		}
	}
	return zones
}

// Fleet returns the servers as they are at the start, now.
func (s *Scenario) Fleet(seed uint64, now float64) *emulator.Fleet {
	f := emulator.NewFleet(seed)
	d := &s.Deployment
	position := 0
	for n, g := range s.Servers {
		b := emulator.Spec{
			Cores:               g.Cores,
			Speed:               g.Speed,
			QueueCapacity:       g.QueueCapacity,
			SlowStartFraction:   d.SlowStartFraction,
			SlowStartDuration:   d.SlowStartDuration,
			CrashFactor:         d.CrashFactor,
			CrashWindow:         d.CrashDuration,
			CrashDowntime:       g.CrashDowntime,
			DegradeQueueLength:  g.DegradeQueueLength,
			DegradedSpeed:       g.DegradedSpeed,
			DegradeTimeConstant: g.DegradeTimeConstant,
			RecoverTimeConstant: g.RecoverTimeConstant,
			CacheSize:           g.CacheSize,
			CachedWorkFraction:  g.CachedWorkFraction,
		}
		for i := range g.Count {
			f.AddPosition(
				now,
				emulator.MemberSpec{Name: fmt.Sprintf("%s-%d", g.Name, i), Zone: g.Zones[i%len(g.Zones)], Model: g.Model,
					Pod: position / g.Pod, Group: n, Spec: b},
				!g.StartsCold,
			)
			position++
		}
	}
	return f
}

// RequestClasses is what servers need to know of each class's requests.
func (s *Scenario) RequestClasses() map[string]fakeserver.RequestClass {
	zones := map[string]int{}
	for i, z := range s.zones() {
		zones[z] = i
	}
	all := map[string]fakeserver.RequestClass{}
	for i, t := range s.Settings(0).Classes {
		all[t.Name] = fakeserver.RequestClass{Number: i, Work: s.Classes[i].Work, DedupWindow: t.DedupWindow,
			DedupGroup: func(m *emulator.Member) int { return dedupGroup(t, i, m, zones[m.Zone]) }}
	}
	return all
}

// Variables are the environment variables that a proxy's program reads.
func Variables(name, listen, discovery, file string) []string {
	return []string{
		"ROUTER_NAME=" + name,
		"ROUTER_LISTEN=" + listen,
		"ROUTER_DISCOVERY=" + discovery,
		"ROUTER_CONFIG=" + file,
	}
}

// object is a JSON object of the launch file.
type object map[string]any

var (
	launchEffects = map[balance.Idempotency]string{
		balance.Idempotent:    "retryable",
		balance.Keyed:         "dedup",
		balance.NonIdempotent: "fragile",
	}
	launchScopes = map[balance.DedupScope]string{
		balance.DedupAll:  "all",
		balance.DedupZone: "zone",
		balance.DedupPod:  "cell",
	}
)

func milliseconds(seconds float64) float64 { return seconds * 1000 }

// Launch is the launch file of one proxy, in the platform's form.
func (s *Scenario) Launch(name, listen, discovery string, seed uint64, known json.RawMessage) ([]byte, error) {
	launch := object{
		"name":      name,
		"listen":    listen,
		"discovery": discovery,
		"seed":      strconv.FormatUint(seed, 16),
		"limits": object{
			"cores":     s.ProxyFleet.Cores,
			"memory_mb": s.ProxyFleet.MemoryMB,
			"sockets":   s.ProxyFleet.Sockets,
		},
		"known":    known,
		"settings": s.launchSettings(seed),
	}
	return json.MarshalIndent(launch, "", " ")
}

// launchSettings are the settings of a launch file.
func (s *Scenario) launchSettings(seed uint64) object {
	d := &s.Deployment
	figures := s.Settings(seed)
	var profiles, realms []object
	for _, class := range figures.Classes {
		profiles = append(profiles, launchProfile(class))
	}
	for _, tenant := range figures.Tenants {
		realms = append(realms, object{"Name": tenant.Name, "QuotaPerS": tenant.Quota})
	}
	return object{
		"ReplicasOfMe": s.ProxyFleet.Count,
		"Zones":        figures.Zones,
		"Discovery":    "push",
		"FamilyInfo":   object{"WarmKeys": figures.CacheAffinity},
		"Ceilings": object{
			"MaxLegs":          d.MaxAttempts,
			"Cancel":           d.CancelAllowed,
			"ParallelTries":    d.HedgingAllowed,
			"RetryAfter":       d.MaxRetryAfter > 0,
			"MaxRetryAfterMs":  milliseconds(d.MaxRetryAfter),
			"ConnectTimeoutMs": milliseconds(d.ConnectTimeout),
			"ConnIdleMs":       milliseconds(d.IdleTimeout),
		},
		"Rules": object{
			"StopSendingWithinMs": milliseconds(d.DrainGrace),
			"AskEveryMs":          milliseconds(d.NotificationDeadline),
			"ColdFrom":            d.SlowStartFraction,
			"ColdMs":              milliseconds(d.SlowStartDuration),
			"FallMultiple":        d.CrashFactor,
			"OverloadForMs":       milliseconds(d.CrashDuration),
		},
		"Profiles": profiles,
		"Realms":   realms,
	}
}

func launchProfile(class balance.Class) object {
	profile := object{
		"Name":       class.Name,
		"Effect":     launchEffects[class.Idempotency],
		"DueTimeMs":  milliseconds(class.LatencyObjective),
		"HardStopMs": milliseconds(class.Deadline),
		"Value":      class.PriorityWeight,
	}
	if class.Idempotency == balance.Keyed {
		profile["DedupScope"] = launchScopes[class.DedupScope]
		profile["WindowMs"] = milliseconds(class.DedupWindow)
	}
	return profile
}

// dedupGroup is the group by which a member drops duplicates of a class's requests; -1: none.
func dedupGroup(t balance.Class, class int, m *emulator.Member, zone int) int {
	const maxGroups = maxServers + 2 // of one class: all servers, or zones, or pods
	if t.Idempotency != balance.Keyed {
		return -1
	}
	switch t.DedupScope {
	case balance.DedupZone:
		return class*maxGroups + 1 + zone
	case balance.DedupPod:
		return class*maxGroups + 1 + m.Pod
	}
	return class * maxGroups
}
