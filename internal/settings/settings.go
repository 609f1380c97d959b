package settings

import (
	"fmt"
	"slices"
	"strings"

	"lockloom/balance"
)

// Settings describes a deployment, including values that only the network code needs. Times are in seconds.
type Settings struct {
	balance.Deployment
	Zones                []string // a zone's index is its position here
	StreamsPerConnection int      // maximum number of concurrent requests on a connection to a server
	ConnectTimeout       float64  // limit for connecting to a server: a longer attempt never succeeds; 0: not published
	DrainGrace           float64  // from the notification that a server drains or was removed until sending must stop
}

const millisecondsPerSecond = 1000

// The values that the platform publishes for idempotency and deduplication scope, and the constants they stand for.
var (
	idempotencies = map[string]balance.Idempotency{
		"retryable": balance.Idempotent,
		"dedup":     balance.Keyed,
		"fragile":   balance.NonIdempotent,
	}
	dedupScopes = map[string]balance.DedupScope{
		"all":  balance.DedupAll,
		"zone": balance.DedupZone,
		"cell": balance.DedupPod,
	}
)

// Read reads settings from values by published key. The length of a list is the value of its key with ".count"
// appended. Unknown keys are skipped, and a missing number is 0. An error names the first key whose value is malformed.
func Read(values map[string]string, seed uint64) (Settings, error) {
	reader := valueReader{values: values}
	settings := Settings{
		Zones:                strings.Split(values["Zones"], ","),
		StreamsPerConnection: 1,
		ConnectTimeout:       reader.seconds("Ceilings.ConnectTimeoutMs"),
		DrainGrace:           reader.seconds("Rules.StopSendingWithinMs"),
	}
	settings.Deployment = readDeployment(&reader, seed, settings.Zones)
	if reader.has("Ceilings.StreamsPerConn") {
		settings.StreamsPerConnection = int(reader.number("Ceilings.StreamsPerConn"))
	}
	if reader.bool("Ceilings.RetryAfter") {
		settings.MaxRetryAfter = reader.seconds("Ceilings.MaxRetryAfterMs")
	}
	settings.Classes = readClasses(&reader)
	settings.Tenants = readTenants(&reader)
	return settings, reader.err
}

// readDeployment reads the fields of a deployment, except for MaxRetryAfter, Classes and Tenants.
func readDeployment(reader *valueReader, seed uint64, zones []string) balance.Deployment {
	values := reader.values
	return balance.Deployment{
		Seed:                 seed,
		ProxyIndex:           int(reader.number("SlotNo")),
		Zone:                 slices.Index(zones, values["Zone"]),
		Sidecar:              values["KindOfService"] == "mesh",
		Gossip:               reader.bool("Ceilings.PeerMessages"),
		HealthChecks:         reader.bool("Ceilings.Probes") && usableHealthChecks(values),
		ConnectionCost:       reader.number("Tariffs.Connection"),
		HandshakeCost:        reader.number("Tariffs.Handshake"),
		ServerIdleTimeout:    reader.seconds("Ceilings.ConnIdleMs"),
		GossipCost:           reader.number("Tariffs.Peer"),
		HealthCheckCost:      reader.number("Tariffs.Probe"),
		Proxies:              int(reader.number("ReplicasOfMe")),
		WeightByWork:         values["ValuePer"] == "work",
		MaxAttempts:          int(reader.number("Ceilings.MaxLegs")),
		CancelAllowed:        reader.bool("Ceilings.Cancel"),
		HedgingAllowed:       reader.bool("Ceilings.ParallelTries"),
		CacheAffinity:        reader.bool("FamilyInfo.WarmKeys"),
		RemovalIsAdvisory:    reader.bool("Rules.GoneIsAdvice"),
		PollsEndpoints:       values["Discovery"] == "subscribe",
		NotificationDeadline: reader.seconds("Rules.AskEveryMs"),
		SlowStartFraction:    reader.number("Rules.ColdFrom"),
		SlowStartDuration:    reader.seconds("Rules.ColdMs"),
		CrashFactor:          reader.number("Rules.FallMultiple"),
		CrashDuration:        reader.seconds("Rules.OverloadForMs"),
	}
}

// usableHealthChecks reports whether health checks return enough to be worth their cost. The number of requests in
// flight shows the load of a server only together with the utilization of its cores: without the utilization, a server
// with two cores would count as one with one core, and requests would be rejected while half of the servers' capacity
// is free.
func usableHealthChecks(values map[string]string) bool {
	fields := strings.Split(values["Feedback.Fields"], ",")
	return values["Feedback.Via"] == "on_probe" &&
		slices.Contains(fields, inFlightField) && slices.Contains(fields, utilizationField)
}

func readClasses(reader *valueReader) []balance.Class {
	var classes []balance.Class
	for i := range reader.count("Profiles") {
		key := fmt.Sprintf("Profiles.%d.", i)
		class := balance.Class{
			Name:             reader.values[key+"Name"],
			DedupWindow:      reader.seconds(key + "WindowMs"),
			LatencyObjective: reader.seconds(key + "DueTimeMs"),
			Deadline:         reader.seconds(key + "HardStopMs"),
			PriorityWeight:   reader.number(key + "Value"),
		}
		class.Idempotency = choice(reader, key+"Effect", idempotencies)
		if class.Idempotency == balance.Keyed {
			class.DedupScope = choice(reader, key+"DedupScope", dedupScopes)
		}
		classes = append(classes, class)
	}
	return classes
}

func readTenants(reader *valueReader) []balance.Tenant {
	var tenants []balance.Tenant
	for i := range reader.count("Realms") {
		key := fmt.Sprintf("Realms.%d.", i)
		tenant := balance.Tenant{Name: reader.values[key+"Name"], Quota: reader.number(key + "QuotaPerS")}
		tenants = append(tenants, tenant)
	}
	return tenants
}
