package simwire

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"strconv"
	"time"
)

// actionWriter writes the actions of one instance as lines.
type actionWriter struct {
	out     *bufio.Writer
	id      int
	started bool // the line that names the instance is written
}

func (w *actionWriter) line(format string, args ...any) {
	if !w.started {
		fmt.Fprintf(w.out, "SPEAKING %d\n", w.id)
		w.started = true
	}
	fmt.Fprintf(w.out, format+"\n", args...)
}

// StartAttempt writes PLACE.
func (w *actionWriter) StartAttempt(request string, host uint32, timeout time.Duration) {
	w.line("PLACE %s %d %d", request, host, timeout.Microseconds())
}

// CancelAttempt writes CANCEL.
func (w *actionWriter) CancelAttempt(request string, attempt int) {
	w.line("CANCEL %s %d", request, attempt)
}

// Reject writes BOUNCE.
func (w *actionWriter) Reject(request string, retryAfter time.Duration) {
	w.line("BOUNCE %s %d", request, retryAfter.Microseconds())
}

// Fail writes GIVE_UP.
func (w *actionWriter) Fail(request string) { w.line("GIVE_UP %s", request) }

// SendProbe writes TEST.
func (w *actionWriter) SendProbe(host uint32) { w.line("TEST %d", host) }

// SetTimer writes SCHEDULE.
func (w *actionWriter) SetTimer(after time.Duration) {
	w.line("SCHEDULE %d 0", after.Microseconds())
}

// WatchEndpoints writes WATCH.
func (w *actionWriter) WatchEndpoints() { w.line("WATCH 1") }

// AddToCounter writes INCR.
func (w *actionWriter) AddToCounter(name uint64, amount float64, timeToLive time.Duration) {
	text := strconv.FormatFloat(amount, 'g', -1, 64)
	w.line("INCR %d %s %d", timeToLive.Microseconds(), text, name)
}

// LogNote writes NOTE_DOWN.
func (w *actionWriter) LogNote(text string) { w.line("NOTE_DOWN %s", text) }

// SendGossip writes PUBLISH.
func (w *actionWriter) SendGossip(peer int, message []byte) {
	w.line("PUBLISH %d %s", peer, base64.StdEncoding.EncodeToString(message))
}
