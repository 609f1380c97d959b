package limits

const (
	timeTolerance  = 1e-9 // seconds of rounding error allowed in sums of times
	evictionSample = 16   // keys inspected to find the one to evict
	minTableSize   = 16
	keyZero        = 0x9e3779b97f4a7c15 // stored in place of key 0, which marks free entries
	hashMultiplier = 0xd6e8feb86659fd93 // odd; spreads similar keys over the table
)

// rateTable limits the request rate of each key by the generic cell rate algorithm (GCRA). Evicting a key whose token
// bucket is full again loses nothing, since an unknown key starts with a full bucket.
//
// It is a hash table with open addressing and linear probing, so that a request accesses one region of memory. With a
// million keys, a Go map and a list for the eviction order cost twice as much.
type rateTable struct {
	interval     float64 // seconds from one request to the next at the limit's rate
	burst        float64 // burst tolerance of GCRA: seconds by which requests may arrive earlier than the rate allows
	maxKeys      int
	entries      []rateEntry // their number is a power of two, and at least half of them are free
	count        int         // keys in the table
	clockHand    int         // index at which the search for a key to evict continues
	evictedEarly int         // evicted keys whose bucket was not full
}

type rateEntry struct {
	key    uint64  // 0: the entry is free
	fullAt float64 // time in seconds at which the token bucket of the key is full again
}

func newRateTable(limit Limit) *rateTable {
	table := &rateTable{interval: 1 / limit.Rate, maxKeys: limit.MaxKeys}
	if table.maxKeys == 0 {
		table.maxKeys = maxKeys
	}
	table.burst = (max(limit.Burst, 1) - 1) * table.interval
	return table
}

// home returns the index at which the probe for a key starts.
func (t *rateTable) home(key uint64) int {
	key = (key ^ key>>32) * hashMultiplier
	return int(key>>20) & t.mask()
}

func (t *rateTable) mask() int { return len(t.entries) - 1 }

// find returns the entry of a key, or the free entry where it would be inserted.
func (t *rateTable) find(key uint64) *rateEntry {
	mask := t.mask()
	for i := t.home(key); ; i = (i + 1) & mask {
		if entry := &t.entries[i]; entry.key == key || entry.key == 0 {
			return entry
		}
	}
}

// take counts a request for a key and returns 0, if the rate allows the request now. Otherwise it counts nothing and
// returns the number of seconds until the rate would allow a request for that key.
func (t *rateTable) take(now float64, key uint64) (retryAfter float64) {
	if key == 0 {
		key = keyZero
	}
	entry := t.findOrAdd(now, key)
	fullAt := max(entry.fullAt, now) // an idle key does not accumulate more than a full bucket
	if ahead := fullAt - now - t.burst; ahead > timeTolerance {
		return ahead
	}
	entry.fullAt = fullAt + t.interval
	return 0
}

// findOrAdd returns the entry of a key, and adds one with a full bucket if the key is new.
func (t *rateTable) findOrAdd(now float64, key uint64) *rateEntry {
	if len(t.entries) == 0 {
		t.entries = make([]rateEntry, minTableSize)
	}
	entry := t.find(key)
	if entry.key != 0 {
		return entry
	}
	if t.count >= t.maxKeys {
		t.evictOne(now)
	}
	t.count++
	if 2*t.count > len(t.entries) {
		t.grow()
	}
	entry = t.find(key)
	*entry = rateEntry{key: key}
	return entry
}

// giveBack reverts a take that admitted a request.
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

// evictOne evicts one key: of a sample of the keys, the one with the earliest fullAt, which has been idle for longest.
func (t *rateTable) evictOne(now float64) {
	victim := t.oldestOfSample()
	if t.entries[victim].fullAt > now {
		t.evictedEarly++
	}
	t.count--
	t.remove(victim)
}

// oldestOfSample returns the index of the entry with the earliest fullAt among the next evictionSample keys.
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

// remove frees an entry, and moves back the following entries that probing would no longer reach across the gap.
func (t *rateTable) remove(free int) {
	mask := t.mask()
	for i := (free + 1) & mask; t.entries[i].key != 0; i = (i + 1) & mask {
		if home := t.home(t.entries[i].key); (i-home)&mask >= (i-free)&mask {
			t.entries[free], free = t.entries[i], i
		}
	}
	t.entries[free] = rateEntry{}
}
