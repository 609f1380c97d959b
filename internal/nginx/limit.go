package nginx

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// limitKey returns the operator file's key for the variable that a zone is keyed by, and whether there is one.
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

// zone converts a zone directive. The zone becomes a limit when a directive uses it.
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
		c.refuse(d, "expected a zone name that no other zone has")
		return
	}
	c.zones[zone.name] = zone
	c.add(d, Carried, "becomes a limit by %s", key)
}

func (c *converter) refuseZoneKey(d *Node) {
	c.refuse(d, "expected $binary_remote_addr, $remote_addr or $http_NAME as the key")
}

// zoneParameter parses one parameter of a zone. It reports whether the parameter could be converted.
func (c *converter) zoneParameter(d *Node, zone *limit, parameter string) bool {
	switch name, value, _ := strings.Cut(parameter, "="); name {
	case "zone":
		zone.name, _, _ = strings.Cut(value, ":")
	case "rate":
		rate, ok := requestRate(value)
		if !ok {
			c.refuse(d, "invalid rate %q: expected a rate such as 10r/s or 30r/m", value)
			return false
		}
		zone.rate = rate
	default:
		c.refuse(d, "unknown parameter %s", parameter)
		return false
	}
	return true
}

// requestRate parses a rate such as 10r/s or 30r/m. It returns requests per second.
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

// limitUse holds the arguments of a limit_req or limit_conn directive.
type limitUse struct {
	zone        *limit
	burst       float64 // of limit_req: requests at once
	inFlight    int     // of limit_conn: maximum number of requests in flight
	parameters  string  // all parameters as one text, which must be the same for all uses of a zone
	difference  string  // from the behavior of nginx
	unsupported string  // a parameter that could not be parsed, or empty
}

const rejectedWithoutDelay = "requests over the limit get 429 without delay"

// limits returns the names of the limits that the settings of a route require.
func (c *converter) limits(s *settings) (names []string) {
	for _, d := range slices.Concat(s.requestLimits, s.connectionLimits) {
		name, ok := c.limit(d)
		if ok && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// limit returns the name of the limit that a limit_req or limit_conn directive uses, and whether it could be converted.
func (c *converter) limit(d *Node) (string, bool) {
	use := c.connectionLimitUse
	if d.Name == "limit_req" {
		use = c.requestLimitUse
	}
	u := use(d)
	switch {
	case u.zone == nil:
		c.refuse(d, "no zone of this name was converted")
		return "", false
	case u.unsupported != "":
		c.refuse(d, "unsupported parameter %s", u.unsupported)
		return "", false
	case u.zone.usage != "" && u.zone.usage != u.parameters:
		c.refuse(d, "another directive uses the zone with different parameters: define a zone for each")
		return "", false
	}
	if u.zone.usage == "" {
		c.firstUse(u)
	}
	c.add(d, Differs, "%s", u.difference)
	return u.zone.name, true
}

// firstUse completes the limit of a zone with the parameters of its first use, and adds it to the file.
func (c *converter) firstUse(u limitUse) {
	u.zone.usage, u.zone.burst, u.zone.inFlight = u.parameters, u.burst, u.inFlight
	c.file.limits = append(c.file.limits, u.zone)
}

func (c *converter) requestLimitUse(d *Node) limitUse {
	u := limitUse{difference: rejectedWithoutDelay}
	excess, delayed := 0.0, false
	for _, parameter := range d.Args {
		switch name, value, _ := strings.Cut(parameter, "="); name {
		case "zone":
			u.zone = c.zones[value]
		case "burst":
			var err error
			if excess, err = strconv.ParseFloat(value, 64); err != nil {
				u.unsupported = parameter
			}
		case "nodelay":
		case "delay":
			delayed = true
		default:
			u.unsupported = parameter
		}
	}
	if delayed || !slices.Contains(d.Args, "nodelay") && excess > 0 {
		u.difference = rejectedWithoutDelay + ", whereas nginx delays them"
	}
	u.burst = excess + 1 // nginx does not count the request itself as part of the burst
	u.parameters = fmt.Sprint("req", excess)
	return u
}

func (c *converter) connectionLimitUse(d *Node) limitUse {
	u := limitUse{difference: rejectedWithoutDelay}
	if len(d.Args) != 2 {
		return u
	}
	u.zone = c.zones[d.Args[0]]
	count, err := strconv.Atoi(d.Args[1])
	if err != nil || count <= 0 {
		u.unsupported = d.Args[1]
	}
	u.inFlight = count
	u.parameters = fmt.Sprint("conn", count)
	return u
}
