package nginx

import (
	"fmt"
	"slices"
	"unicode/utf8"
)

// Grade is how well a directive could be carried over.
type Grade uint8

// The grades, from best to worst.
const (
	Carried Grade = iota // its meaning is in the operator file, or it has none for routing
	Differs              // carried, with a stated difference
	Refused              // not carried: the text has the reason, and what to do
)

func (g Grade) String() string { return [...]string{"carried", "differs", "refused"}[g] }

// Verdict says what became of one directive.
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

// report collects the verdicts of a conversion.
type report struct {
	verdicts map[*Node]Verdict
}

// add gives a directive its verdict. A directive that was refused stays so.
func (r *report) add(n *Node, grade Grade, format string, args ...any) {
	if old, ok := r.verdicts[n]; ok && old.Grade == Refused.String() && grade != Refused {
		return
	}
	r.replace(n, grade, fmt.Sprintf(format, args...))
}

// refuse refuses a directive.
func (r *report) refuse(n *Node, format string, args ...any) {
	r.add(n, Refused, format, args...)
}

// replace gives a directive its verdict, whatever it had.
func (r *report) replace(n *Node, grade Grade, text string) {
	r.verdicts[n] = newVerdict(n, grade, text)
}

// childBlocks are the blocks that directives open, by name.
var childBlocks = map[string]blocks{
	"http":     inHTTP,
	"server":   inServer,
	"location": inLocation,
	"upstream": inUpstream,
	"if":       inIf,
	"events":   inMain,
}

// collect appends the verdict on each directive of a list, in order, to verdicts. What the conversion did not judge is
// judged by its name: a directive that nobody has looked at must not be passed over in silence. A list that stands in
// no known block has in = 0.
func (r *report) collect(verdicts []Verdict, list []*Node, in blocks) []Verdict {
	for _, n := range list {
		r.judge(n, in)
		if n.Line > 0 { // not the http block that stands for an included file
			verdicts = append(verdicts, r.verdicts[n])
		}
		if !n.Opens {
			continue
		}
		child, known := childBlocks[n.Name]
		switch {
		case known && in != 0:
			verdicts = r.collect(verdicts, n.Block, child)
		case in != 0 && holdsData(n.Name):
		default:
			for _, inner := range n.Block {
				r.refuse(inner, "within %s, which is refused", n.Name)
			}
			verdicts = r.collect(verdicts, n.Block, 0)
		}
	}
	return verdicts
}

// holdsData reports whether the words in a directive's block are no directives.
func holdsData(name string) bool { return name == "types" || name == "map" || name == "split_clients" }

// judge gives a directive the usual verdict of its name if it has none yet.
func (r *report) judge(n *Node, in blocks) {
	if !utf8.ValidString(n.Name) || slices.ContainsFunc(n.Args, invalidUTF8) {
		r.refuse(n, "bytes that are no UTF-8")
	}
	if _, ok := r.verdicts[n]; ok {
		return
	}
	d, known := directives[n.Name]
	switch {
	case !known:
		r.refuse(n, "not known: what it means is not guessed")
	case d.in&in == 0:
		r.refuse(n, "it does not stand in %s", in)
	default:
		r.add(n, d.grade, "%s", d.text)
	}
}

func invalidUTF8(s string) bool { return !utf8.ValidString(s) }
