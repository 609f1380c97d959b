package config

import (
	"fmt"
	"io"
	"strings"

	"lockloom/limits"
	"lockloom/routes"
)

// Request is a request to explain.
type Request struct {
	Method, Target, Host string
	Fields               map[string]string // by lower-case name
}

// Get is a field of it.
func (a *Request) Get(name string) (string, bool) {
	v, ok := a.Fields[strings.ToLower(name)]
	return v, ok
}

// Explain says what a request would meet, and why not what else was asked.
func (s *Config) Explain(w io.Writer, a *Request) error {
	host, path, query, err := routes.ParseTarget(a.Target)
	if err != nil {
		fmt.Fprintf(w, "refused with 400: %v\n", err)
		return nil
	}
	if host == "" {
		host = a.Host
	} else if a.Host != "" && routes.NormalizeHost(a.Host) != routes.NormalizeHost(host) {
		fmt.Fprintf(w, "refused with 400: the target is for %s, Host says %s\n", host, a.Host)
		return nil
	}
	q := routes.Request{Host: routes.NormalizeHost(host), Method: a.Method, Path: path, Query: query, Fields: a}
	m, ok, asked := s.RouteTable.Explain(&q)
	fmt.Fprintf(w, "host %q, method %s, path %q, query %q\n", q.Host, q.Method, q.Path, q.Query)
	for _, y := range asked {
		fmt.Fprintf(w, "  route %s (%s %s): %s\n", y.Route.Name, y.Route.Kind, y.Route.Path, y.Reason)
	}
	if !ok {
		fmt.Fprintln(w, "no route: answered with 404")
		return nil
	}
	terms, act := s.RouteConfig(m.Route), &m.Route.Action
	fmt.Fprintf(w, "route %s\n", m.Route.Name)
	for _, name := range terms.Limits {
		for _, l := range s.File.Limits {
			if l.Name == name {
				fmt.Fprintf(w, "limit %s by %s: %s\n", l.Name, l.By, l.said())
			}
		}
	}
	switch {
	case act.Redirect != nil:
		fmt.Fprintf(w, "redirect %d to %s\n", act.Redirect.Status, m.Location(query))
		return nil
	case act.Response != nil:
		fmt.Fprintf(w, "answer %d, %d bytes\n", act.Response.Status, len(act.Response.Body))
		return nil
	}
	onward, err := m.UpstreamPath()
	if err != nil {
		fmt.Fprintf(w, "refused with 400: rewritten: %v\n", err)
		return nil
	}
	for _, p := range act.Pools {
		fmt.Fprintf(w, "pool %s, weight %g\n", p.Pool, p.Weight)
	}
	_, marked := a.Get("Idempotency-Key")
	rule := s.RetryRule(terms)
	for _, t := range s.Classes {
		if t.Name == terms.Class {
			kind := rule.SafetyOf(a.Method, marked)
			if kind == limits.RetryKeyed && t.DedupWindow == 0 { // no server knows the mark
				kind = limits.RetryNever
			}
			fmt.Fprintf(w, "tariff %s: %s, due in %g s, hard stop %g s, value %g\n", t.Name, kind, t.LatencyObjective, t.Deadline, t.PriorityWeight)
		}
	}
	fmt.Fprintf(w, "retry rule %s: %g of recent first legs may be sent again\n", rule.Name, rule.BudgetRatio)
	_, err = fmt.Fprintf(w, "goes on as %s %s\n", a.Method, onward)
	return err
}

func (l *Limit) said() string {
	var list []string
	if l.Rate > 0 {
		list = append(list, fmt.Sprintf("%g a second, %g at once", l.Rate, max(l.Burst, 1)))
	}
	if l.Concurrency > 0 {
		list = append(list, fmt.Sprintf("%d in hand", l.Concurrency))
	}
	return strings.Join(list, ", ")
}
