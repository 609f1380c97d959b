package simwire

import (
	"bufio"
	"io"
	"math"
	"strconv"
	"strings"
)

// Writer writes replies. Times are in seconds.
type Writer struct{ out *bufio.Writer }

func NewWriter(out io.Writer) *Writer { return &Writer{bufio.NewWriterSize(out, 1<<16)} }

// Instance makes the following lines those of this instance.
func (w *Writer) Instance(n int) { w.line("context Proxy=", strconv.Itoa(n)) }

func (w *Writer) Send(id, server string, until float64) {
	// rounded down, so that an attempt never outlives its time
	w.line("try Job=", id, " Backend=", server, " NotPastMs=", ms(math.Floor(until*1e6)/1e6))
}

func (w *Writer) CallOff(id string, attempt int) {
	w.line("stop_attempt Job=", id, " Leg=", strconv.Itoa(attempt))
}

func (w *Writer) Dismiss(id string, advice float64) {
	if advice > 0 {
		w.line("refuse Job=", id, " CoolDownMs=", ms(advice))
		return
	}
	w.line("refuse Job=", id)
}

func (w *Writer) Forfeit(id string) { w.line("respond_error Job=", id) }

// Wake asks for a timer this far from now.
func (w *Writer) Wake(after float64, label int) {
	w.line("wake_at AfterMs=", ms(after), " Label=", strconv.Itoa(label))
}

func (w *Writer) Subscribe() { w.line("keep_informed Enable=1") }

func (w *Writer) Probe(server string) { w.line("inspect Backend=", server) }

func (w *Writer) HangUp(server string) { w.line("hang_up Backend=", server) }

func (w *Writer) Tell(peer int, data string) {
	w.line("broadcast_to Target=", strconv.Itoa(peer), " Data=", data)
}

// Broken says that the decisions have failed, in words.
func (w *Writer) Broken(text string) {
	w.line("give_in Line=", strings.Join(strings.Fields(text), " "))
}

// Ready ends a reply.
func (w *Writer) Ready(number string) error {
	w.line("ready frame=", number)
	return w.out.Flush()
}

func (w *Writer) line(parts ...string) {
	for _, p := range parts {
		w.out.WriteString(p)
	}
	w.out.WriteByte('\n')
}

func ms(s float64) string { return strconv.FormatFloat(s*1000, 'f', 3, 64) }
