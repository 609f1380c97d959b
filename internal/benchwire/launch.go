package benchwire

import (
	"fmt"
	"strconv"
	"strings"

	"lockloom/balance"
)

// launch reads the settings of a new instance. Unknown ones are skipped.
func launch(l *line) Launch {
	seed, err := strconv.ParseUint(l.must("Prng"), 10, 64)
	if err != nil {
		l.fail("Prng", "not a whole number")
	}
	e := env{l, map[string]string{}}
	for part := range strings.SplitSeq(l.rest, " ") {
		if path, value, ok := strings.Cut(part, "="); ok {
			e.values[path] = value
		}
	}
	w := Launch{Zones: strings.Split(e.values["Zones"], ",")}
	w.Deployment = balance.Deployment{
		Seed:         seed,
		Proxies:      int(e.num("ReplicasOfMe")),
		ValueByWork:  e.values["ValuePer"] == "work",
		BeyondShare:  e.num("BeyondShareValue"),
		MaxLegs:      int(e.num("Ceilings.MaxLegs")),
		CallOff:      e.bool("Ceilings.Cancel"),
		WarmKeys:     e.bool("FamilyInfo.WarmKeys"),
		AsksList:     e.values["Discovery"] == "subscribe",
		AskEvery:     e.num("Rules.AskEveryMs") / 1000,
		ColdShare:    e.num("Rules.ColdFrom"),
		ColdFor:      e.num("Rules.ColdMs") / 1000,
		FallMultiple: e.num("Rules.FallMultiple"),
		FallFor:      e.num("Rules.OverloadForMs") / 1000,
	}
	if e.bool("Ceilings.RetryAfter") {
		w.MaxAdvice = e.num("Ceilings.MaxRetryAfterMs") / 1000
	}
	for i := range int(e.num("Profiles.count")) {
		p := fmt.Sprintf("Profiles.%d.", i)
		t := balance.Tariff{
			Name:     e.values[p+"Name"],
			Window:   e.num(p+"WindowMs") / 1000,
			Due:      e.num(p+"DueTimeMs") / 1000,
			HardStop: e.num(p+"HardStopMs") / 1000,
			Value:    e.num(p + "Value"),
		}
		t.Kind = choice(e, p+"Effect", kinds)
		if t.Kind == balance.Referenced {
			t.Scope = choice(e, p+"DedupScope", scopes)
		}
		w.Tariffs = append(w.Tariffs, t)
	}
	for i := range int(e.num("Realms.count")) {
		p := fmt.Sprintf("Realms.%d.", i)
		w.Customers = append(w.Customers, balance.Customer{Name: e.values[p+"Name"], Quota: e.num(p + "QuotaPerS")})
	}
	return w
}

// env is the settings by path.
type env struct {
	l      *line
	values map[string]string
}

func (e env) num(path string) float64 {
	v, ok := e.values[path]
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil {
		e.l.fail(path, fmt.Sprintf("not a number: %q", v))
	}
	return x
}

func (e env) bool(path string) bool {
	v, ok := e.values[path]
	if ok && v != "true" && v != "false" && v != "1" && v != "0" {
		e.l.fail(path, fmt.Sprintf("not true or false: %q", v))
	}
	return v == "true" || v == "1"
}

func choice[T any](e env, path string, words map[string]T) T {
	w, ok := words[e.values[path]]
	if !ok {
		e.l.fail(path, fmt.Sprintf("unknown: %q", e.values[path]))
	}
	return w
}
