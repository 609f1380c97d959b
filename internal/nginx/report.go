package nginx

import (
	"fmt"
	"slices"
	"unicode/utf8"
)

// Grade is how completely a directive could be converted.
type Grade uint8

// The grades, from best to worst.
const (
	Carried Grade = iota // converted, or without effect on routing
	Differs              // converted with a difference, which the text states
	Refused              // not converted: the text has the reason and what to do
)

func (g Grade) String() string { return [...]string{"carried", "differs", "refused"}[g] }

// Verdict is the result of the conversion of one directive.
type Verdict struct {
	Place Place  `json:"-"`
	At    string `json:"at"` // the place as text
	Name  string `json:"directive"`
	Grade string `json:"verdict"`
	Text  string `json:"text,omitempty"`
}

func newVerdict(n *Node, grade Grade, text string) Verdict {
	return Verdict{Place: n.Place, At: n.String(), Name: n.Name, Grade: grade.String(), Text: text}
}

// report holds the verdicts of a conversion.
type report struct {
	verdicts map[*Node]Verdict
}

// add sets the verdict of a directive, unless that replaced a refusal by a better verdict.
func (r *report) add(n *Node, grade Grade, format string, args ...any) {
	if old, ok := r.verdicts[n]; ok && old.Grade == Refused.String() && grade != Refused {
		return
	}
	r.replace(n, grade, fmt.Sprintf(format, args...))
}

// refuse sets the verdict of a directive to Refused, with the reason.
func (r *report) refuse(n *Node, format string, args ...any) {
	r.add(n, Refused, format, args...)
}

// replace sets the verdict of a directive, even if it was refused before.
func (r *report) replace(n *Node, grade Grade, text string) {
	r.verdicts[n] = newVerdict(n, grade, text)
}

// childBlocks holds the kind of the block of each directive that has other directives in its block.
var childBlocks = map[string]blocks{
	"http":     inHTTP,
	"server":   inServer,
	"location": inLocation,
	"upstream": inUpstream,
	"if":       inIf,
	"events":   inMain,
}

// collect appends the verdict on each directive of a list and of the blocks in it, in order, to verdicts. A directive
// without a verdict from the conversion gets the usual one for its name, so that none is ignored silently. in is the
// kind of the block that the list is in, or 0 if that is unknown.
func (r *report) collect(verdicts []Verdict, list []*Node, in blocks) []Verdict {
	for _, n := range list {
		r.ensureVerdict(n, in)
		if n.Line > 0 { // not the http block that configuration puts around a list
			verdicts = append(verdicts, r.verdicts[n])
		}
		if !n.HasBlock {
			continue
		}
		child, known := childBlocks[n.Name]
		switch {
		case known && in != 0:
			verdicts = r.collect(verdicts, n.Block, child)
		case in != 0 && holdsData(n.Name):
		default:
			for _, inner := range n.Block {
				r.refuse(inner, "inside the refused block %s", n.Name)
			}
			verdicts = r.collect(verdicts, n.Block, 0)
		}
	}
	return verdicts
}

// holdsData reports whether a directive's block has data, such as the entries of a map, instead of directives.
func holdsData(name string) bool { return name == "types" || name == "map" || name == "split_clients" }

// ensureVerdict gives a directive that has no verdict yet the usual one for its name. It refuses a directive with
// invalid UTF-8 in any case.
func (r *report) ensureVerdict(n *Node, in blocks) {
	if !utf8.ValidString(n.Name) || slices.ContainsFunc(n.Args, invalidUTF8) {
		r.refuse(n, "the name or an argument is not valid UTF-8")
	}
	if _, ok := r.verdicts[n]; ok {
		return
	}
	d, known := directives[n.Name]
	switch {
	case !known:
		r.refuse(n, "unknown directive: its effect is not known")
	case d.in&in == 0:
		r.refuse(n, "not allowed in the context %s", in)
	default:
		r.add(n, d.grade, "%s", d.text)
	}
}

func invalidUTF8(s string) bool { return !utf8.ValidString(s) }
