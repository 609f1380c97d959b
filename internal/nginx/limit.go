package nginx

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// limitKey is what a limit counts by, in the operator file's words.
func limitKey(variable string) (string, bool) {
	if variable == "$binary_remote_addr" || variable == "$remote_addr" {
		return "address", true
	}
	name, ok := strings.CutPrefix(variable, fieldPrefix)
	if !ok || strings.Contains(name, "$") {
		return "", false
	}
	return "field:" + strings.ReplaceAll(name, "_", "-"), true
}

// zone reads a zone, which is a limit once a directive uses it.
func (c *converter) zone(d *Node) {
	if len(d.Args) < 2 {
		c.refuseZoneKey(d)
		return
	}
	key, ok := limitKey(d.Args[0])
	if !ok {
		c.refuseZoneKey(d)
		return
	}
	zone := &limit{key: key, from: d.Place}
	for _, parameter := range d.Args[1:] {
		if !c.zoneParameter(d, zone, parameter) {
			return
		}
	}
	if zone.name == "" || c.zones[zone.name] != nil {
		c.refuse(d, "a zone has a name, which no other has")
		return
	}
	c.zones[zone.name] = zone
	c.add(d, Carried, "a limit by %s", key)
}

func (c *converter) refuseZoneKey(d *Node) {
	c.refuse(d, "only by $binary_remote_addr, $remote_addr or $http_NAME")
}

// zoneParameter reads one parameter of a zone. It reports whether the zone can still be carried.
func (c *converter) zoneParameter(d *Node, zone *limit, parameter string) bool {
	switch name, value, _ := strings.Cut(parameter, "="); name {
	case "zone":
		zone.name, _, _ = strings.Cut(value, ":")
	case "rate":
		rate, ok := requestRate(value)
		if !ok {
			c.refuse(d, "no rate: %s", value)
			return false
		}
		zone.rate = rate
	default:
		c.refuse(d, "%s: not known", parameter)
		return false
	}
	return true
}

// requestRate reads a rate such as 10r/s or 30r/m, in requests per second.
func requestRate(text string) (float64, bool) {
	interval := 1.0 // s
	digits, ok := strings.CutSuffix(text, "r/s")
	if !ok {
		digits, ok = strings.CutSuffix(text, "r/m")
		interval = 60
	}
	count, err := strconv.ParseFloat(digits, 64)
	if !ok || err != nil || !(count > 0) {
		return 0, false
	}
	return count / interval, true
}

// limitUse is what a limit_req or limit_conn directive says.
type limitUse struct {
	zone       *limit
	burst      float64 // requests over the rate; none for limit_conn
	inFlight   int     // of limit_conn
	parameters string  // all of them in one text: uses of a zone must not differ in it
	difference string  // to nginx
	unknown    string  // a parameter that could not be read
}

const rejectedAtOnce = "over it 429 at once"

// limits are the names of the limits that hold by the settings of a route.
func (c *converter) limits(s *settings) (names []string) {
	for _, d := range slices.Concat(s.requestLimits, s.connectionLimits) {
		name, ok := c.limit(d)
		if ok && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// limit is the name of the limit that a directive uses.
func (c *converter) limit(d *Node) (string, bool) {
	use := c.connectionLimitUse
	if d.Name == "limit_req" {
		use = c.requestLimitUse
	}
	u := use(d)
	switch {
	case u.zone == nil:
		c.refuse(d, "no zone of that name")
		return "", false
	case u.unknown != "":
		c.refuse(d, "%s: not known", u.unknown)
		return "", false
	case u.zone.usage != "" && u.zone.usage != u.parameters:
		c.refuse(d, "the zone is used in two ways: give each a zone of its own")
		return "", false
	}
	if u.zone.usage == "" {
		c.firstUse(u)
	}
	c.add(d, Differs, "%s", u.difference)
	return u.zone.name, true
}

// firstUse completes a zone, which is a limit from then on.
func (c *converter) firstUse(u limitUse) {
	u.zone.usage, u.zone.burst, u.zone.inFlight = u.parameters, u.burst, u.inFlight
	c.file.limits = append(c.file.limits, u.zone)
}

func (c *converter) requestLimitUse(d *Node) limitUse {
	u := limitUse{difference: rejectedAtOnce}
	excess, delayed := 0.0, false
	for _, parameter := range d.Args {
		switch name, value, _ := strings.Cut(parameter, "="); name {
		case "zone":
			u.zone = c.zones[value]
		case "burst":
			var err error
			if excess, err = strconv.ParseFloat(value, 64); err != nil {
				u.unknown = parameter
			}
		case "nodelay":
		case "delay":
			delayed = true
		default:
			u.unknown = parameter
		}
	}
	if delayed || !slices.Contains(d.Args, "nodelay") && excess > 0 {
		u.difference = rejectedAtOnce + ": nothing is delayed"
	}
	u.burst = excess + 1 // nginx counts the request itself apart
	u.parameters = fmt.Sprint("req", excess)
	return u
}

func (c *converter) connectionLimitUse(d *Node) limitUse {
	u := limitUse{difference: rejectedAtOnce}
	if len(d.Args) != 2 {
		return u
	}
	u.zone = c.zones[d.Args[0]]
	count, err := strconv.Atoi(d.Args[1])
	if err != nil || count <= 0 {
		u.unknown = d.Args[1]
	}
	u.inFlight = count
	u.parameters = fmt.Sprint("conn", count)
	return u
}
