package config

import (
	"slices"
	"strings"
)

const (
	minDeadline       = .001 // seconds
	maxPriorityWeight = 1e9
	maxCapacity       = 1e9
)

var dedupScopes = []string{"none", "all", "zone", "pod"}

func (r *reader) checkListeners() {
	for i, listener := range r.file.Listeners {
		r.table("listener", i+1).checkAddress("address", listener.Address)
	}
}

// checkClasses checks the tariffs and sets their default priority weight.
func (r *reader) checkClasses() {
	names := r.file.classNames()
	for i := range r.file.Classes {
		class, table := &r.file.Classes[i], r.table("tariff", i+1)
		table.checkName(class.Name, names[:i])
		table.checkRange("hard_stop", class.Deadline, minDeadline, maxSeconds)
		table.checkRange("due", class.LatencyObjective, 0, class.Deadline)
		table.checkRange("value", class.PriorityWeight, 0, maxPriorityWeight)
		table.checkRange("window", class.DedupWindow, 0, maxSeconds)
		table.checkKnown("scope", "scope", class.DedupScope, dedupScopes)
		hasScope := class.DedupScope != "" && class.DedupScope != "none"
		if hasScope != (class.DedupWindow > 0) {
			table.fail("window", "scope and window must be set together")
		}
		if class.PriorityWeight == 0 {
			class.PriorityWeight = 1
		}
	}
	if len(r.file.Classes) == 0 {
		r.fail("tariff", 0, "", "at least one is required")
	}
}

func (r *reader) checkPools() {
	names := r.file.poolNames()
	for i := range r.file.Pools {
		pool, table := &r.file.Pools[i], r.table("pool", i+1)
		table.checkName(pool.Name, names[:i])
		table.checkKnown("backup", "pool", pool.Backup, names)
		if pool.Backup == pool.Name && pool.Name != "" {
			table.fail("backup", "a pool cannot be its own backup")
		}
		if len(pool.Servers) > 0 && len(pool.Kinds)+len(pool.Zones) > 0 {
			table.fail("servers", "cannot be combined with kinds or zones, which select servers of the endpoint list")
		}
		for _, server := range pool.Servers {
			table.checkAddress("servers", server)
		}
		table.checkRange("backup_after", pool.BackupAfter, 0, maxSeconds)
		table.checkRange("backup_until", pool.BackupUntil, 0, maxSeconds)
		table.checkRange("room", float64(pool.Capacity), 0, maxCapacity)
	}
	for i := range r.file.Pools {
		r.checkBackupChain(i, names)
	}
}

// checkBackupChain checks that a pool is not its own backup through other pools.
func (r *reader) checkBackupChain(index int, names []string) {
	pool := &r.file.Pools[index]
	chain := []string{pool.Name}
	for next := pool.Backup; next != "" && next != pool.Name; {
		i := slices.Index(names, next)
		if i < 0 || slices.Contains(chain, next) {
			return
		}
		chain = append(chain, next)
		next = r.file.Pools[i].Backup
		if next == pool.Name {
			chain = append(chain, pool.Name)
			text := strings.Join(chain, " -> ")
			r.table("pool", index+1).fail("backup", "cycle: %s", text)
		}
	}
}
