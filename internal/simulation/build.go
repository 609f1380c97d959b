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

// pools returns the indexes of the server groups that are pools, or only -1 if all groups together are one pool.
func (s *Scenario) pools() []int {
	if !s.PlainHTTP() {
		return []int{-1}
	}
	var list []int
	for i, g := range s.Servers {
		if slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Pool == g.Name }) {
			list = append(list, i)
		}
	}
	return list
}

// OperatorFile returns the operator file of a proxy that listens for plain HTTP clients: a route for each class and a
// pool for each group of servers that serves one.
func (s *Scenario) OperatorFile(listen string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# of the scenario %s\n[[listener]]\naddress = %q\n", s.Name, listen)
	for _, g := range s.pools() {
		fmt.Fprintf(&b, "[[pool]]\nname = %q\nkinds = [%q]\n", s.Servers[g].Name, s.Servers[g].Model)
	}
	for _, c := range s.Classes {
		fmt.Fprintf(
			&b,
			"[[tariff]]\nname = %q\ndue = %v\nhard_stop = %v\nvalue = %v\n",
			c.Name,
			c.LatencyObjective,
			c.Deadline,
			c.PriorityWeight,
		)
		if c.DedupWindow > 0 {
			fmt.Fprintf(&b, "scope = %q\nwindow = %v\n", c.DedupScope, c.DedupWindow)
		}
		fmt.Fprintf(&b, "[[route]]\nname = %q\nunder = %q\npool = %q\ntariff = %q\n", c.Name, "/"+c.Name, c.Pool, c.Name)
	}
	return []byte(b.String())
}

// Workload returns the workload that the scenario's clients generate.
func (s *Scenario) Workload() loadgen.Workload {
	w := loadgen.Workload{
		Rate:         s.Arrivals.Rate,
		Duration:     s.Seconds,
		KeyCount:     s.Keys.Count,
		ZipfExponent: s.Keys.ZipfExponent,
	}
	for _, p := range s.Arrivals.Phases {
		w.Phases = append(
			w.Phases,
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
	for _, c := range s.Classes {
		w.Classes = append(
			w.Classes,
			loadgen.ClassLoad{Weight: c.Weight, Work: c.Work, WorkVariation: c.WorkVariation, KeyedFraction: c.KeyedFraction},
		)
	}
	for _, t := range s.Tenants {
		w.TenantWeights = append(w.TenantWeights, t.Weight)
	}
	return w
}

// Settings returns the settings of a proxy, with the seed of its random decisions.
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
	for _, c := range s.Classes {
		f.Classes = append(
			f.Classes,
			balance.Class{
				Name:             c.Name,
				Idempotency:      idempotencies[c.Idempotency],
				DedupScope:       scopes[c.DedupScope],
				DedupWindow:      c.DedupWindow,
				LatencyObjective: c.LatencyObjective,
				Deadline:         c.Deadline,
				PriorityWeight:   c.PriorityWeight,
			},
		)
	}
	for _, t := range s.Tenants {
		f.Tenants = append(f.Tenants, balance.Tenant{Name: t.Name, Quota: t.Quota})
	}
	for _, g := range s.Servers {
		f.CacheAffinity = f.CacheAffinity || g.CacheSize > 0
	}
	return f
}

// zones returns the zones of the servers in the order of their first use.
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

// NewFleet returns the scenario's servers in their state at the start of a run. now is the time of the start.
func (s *Scenario) NewFleet(seed uint64, now float64) *emulator.Fleet {
	f := emulator.NewFleet(seed)
	d := &s.Deployment
	position := 0
	for n, g := range s.Servers {
		spec := emulator.Spec{
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
					Pod: position / g.Pod, Group: n, Spec: spec},
				!g.StartsCold,
			)
			position++
		}
	}
	return f
}

// RequestClasses returns, by class name, the parameters by which servers handle the requests of each class.
func (s *Scenario) RequestClasses() map[string]fakeserver.RequestClass {
	zones := map[string]int{}
	for i, z := range s.zones() {
		zones[z] = i
	}
	classes := map[string]fakeserver.RequestClass{}
	for i, c := range s.Settings(0).Classes {
		classes[c.Name] = fakeserver.RequestClass{Number: i, Work: s.Classes[i].Work, DedupWindow: c.DedupWindow,
			DedupGroup: func(m *emulator.Member) int { return dedupGroup(c, i, m, zones[m.Zone]) }}
	}
	return classes
}

// Environment returns the environment variables, as NAME=value, that a proxy program reads: its name, its own address,
// the address of its discovery agent, and the path of its launch file.
func Environment(name, listen, discovery, launchFile string) []string {
	return []string{
		"ROUTER_NAME=" + name,
		"ROUTER_LISTEN=" + listen,
		"ROUTER_DISCOVERY=" + discovery,
		"ROUTER_CONFIG=" + launchFile,
	}
}

// object is a JSON object of the launch file.
type object map[string]any

// Values of the launch file's fields Effect and DedupScope.
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

// LaunchFile returns the launch file of a proxy in the platform's format. known is the endpoint list that the proxy
// starts with, in JSON.
func (s *Scenario) LaunchFile(name, listen, discovery string, seed uint64, known json.RawMessage) ([]byte, error) {
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

// launchSettings returns the settings object of a launch file.
func (s *Scenario) launchSettings(seed uint64) object {
	d := &s.Deployment
	proxySettings := s.Settings(seed)
	var profiles, realms []object
	for _, class := range proxySettings.Classes {
		profiles = append(profiles, launchProfile(class))
	}
	for _, tenant := range proxySettings.Tenants {
		realms = append(realms, object{"Name": tenant.Name, "QuotaPerS": tenant.Quota})
	}
	return object{
		"ReplicasOfMe": s.ProxyFleet.Count,
		"Zones":        proxySettings.Zones,
		"Discovery":    "push",
		"FamilyInfo":   object{"WarmKeys": proxySettings.CacheAffinity},
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

// dedupGroup returns the number of the deduplication group in which a member drops duplicates of a class's requests, or
// -1 if it drops none.
func dedupGroup(class balance.Class, classIndex int, m *emulator.Member, zone int) int {
	const maxGroups = maxServers + 2 // group numbers per class: one for all servers, then one for each zone or pod
	if class.Idempotency != balance.Keyed {
		return -1
	}
	switch class.DedupScope {
	case balance.DedupZone:
		return classIndex*maxGroups + 1 + zone
	case balance.DedupPod:
		return classIndex*maxGroups + 1 + m.Pod
	}
	return classIndex * maxGroups
}
