package limits

const (
	timeTolerance    = 1e-9 // seconds by which floating-point sums may be off
	evictionSample   = 16   // keys of which the one that was idle for longest is forgotten
	minTableSize     = 16
	keyZero          = 0x9e3779b97f4a7c15 // stands for the key 0, which marks free entries
	spreadMultiplier = 0xd6e8feb86659fd93 // odd: spreads keys over the table
)

// rateTable limits the rate of each of many keys by the generic cell rate algorithm: fullAt is when a key's bucket is
// full again. A key whose bucket is full is as good as unknown, so forgetting it loses nothing.
//
// It is one open table with linear probing, so that a request touches one place of memory: at a million keys a map, and
// a list of their order, cost twice as much.
type rateTable struct {
	interval  float64     // seconds between requests at the rate
	burst     float64     // seconds that a key may be ahead of the rate
	maxKeys   int         // remembered
	entries   []rateEntry // a power of two, half of them free at least
	count     int
	clockHand int // where the search for a key to forget continues
	forgotten int // keys whose bucket was not full
}

type rateEntry struct {
	key    uint64 // 0: free
	fullAt float64
}

func newRateTable(limit Limit) *rateTable {
	table := &rateTable{interval: 1 / limit.Rate, maxKeys: limit.MaxKeys}
	if table.maxKeys == 0 {
		table.maxKeys = maxKeys
	}
	table.burst = (max(limit.Burst, 1) - 1) * table.interval
	return table
}

// home returns the index at which the search for a key begins.
func (t *rateTable) home(key uint64) int {
	key = (key ^ key>>32) * spreadMultiplier
	return int(key>>20) & t.mask()
}

func (t *rateTable) mask() int { return len(t.entries) - 1 }

// find returns the entry of a key, or the free one where it would be.
func (t *rateTable) find(key uint64) *rateEntry {
	mask := t.mask()
	for i := t.home(key); ; i = (i + 1) & mask {
		if entry := &t.entries[i]; entry.key == key || entry.key == 0 {
			return entry
		}
	}
}

// take returns 0 if a request of the key may pass now, else in how many seconds one may.
func (t *rateTable) take(now float64, key uint64) (retryAfter float64) {
	if key == 0 {
		key = keyZero
	}
	entry := t.findOrAdd(now, key)
	fullAt := max(entry.fullAt, now) // after a long pause the bucket is full and no more
	if ahead := fullAt - now - t.burst; ahead > timeTolerance {
		return ahead
	}
	entry.fullAt = fullAt + t.interval
	return 0
}

func (t *rateTable) findOrAdd(now float64, key uint64) *rateEntry {
	if len(t.entries) == 0 {
		t.entries = make([]rateEntry, minTableSize)
	}
	entry := t.find(key)
	if entry.key != 0 {
		return entry
	}
	if t.count >= t.maxKeys {
		t.forgetOne(now)
	}
	t.count++
	if 2*t.count > len(t.entries) {
		t.grow()
	}
	entry = t.find(key)
	*entry = rateEntry{key: key}
	return entry
}

// giveBack undoes a take that passed.
func (t *rateTable) giveBack(key uint64) {
	if key == 0 {
		key = keyZero
	}
	if entry := t.find(key); entry.key == key {
		entry.fullAt -= t.interval
	}
}

func (t *rateTable) grow() {
	old := t.entries
	t.entries = make([]rateEntry, 2*len(old))
	for _, entry := range old {
		if entry.key != 0 {
			*t.find(entry.key) = entry
		}
	}
}

// forgetOne forgets the key, of a sample, that was idle for longest.
func (t *rateTable) forgetOne(now float64) {
	victim := t.oldestOfSample()
	if t.entries[victim].fullAt > now {
		t.forgotten++
	}
	t.count--
	t.remove(victim)
}

func (t *rateTable) oldestOfSample() int {
	oldest := -1
	for seen := 0; seen < min(evictionSample, t.count); t.clockHand = (t.clockHand + 1) & t.mask() {
		entry := &t.entries[t.clockHand]
		if entry.key == 0 {
			continue
		}
		seen++
		if oldest < 0 || entry.fullAt < t.entries[oldest].fullAt {
			oldest = t.clockHand
		}
	}
	return oldest
}

// remove frees an entry and moves up those behind it that would not be found across the gap.
func (t *rateTable) remove(free int) {
	mask := t.mask()
	for i := (free + 1) & mask; t.entries[i].key != 0; i = (i + 1) & mask {
		if home := t.home(t.entries[i].key); (i-home)&mask >= (i-free)&mask {
			t.entries[free], free = t.entries[i], i
		}
	}
	t.entries[free] = rateEntry{}
}
