package simwire

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"strconv"
	"time"
)

// actionWriter writes the actions of one instance as lines, after a line SPEAKING with the instance's number. Times are
// in microseconds.
type actionWriter struct {
	out           *bufio.Writer
	instanceID    int
	headerWritten bool // SPEAKING is written
}

// writeLine writes a line, and SPEAKING before the first one.
func (w *actionWriter) writeLine(format string, args ...any) {
	if !w.headerWritten {
		fmt.Fprintf(w.out, "SPEAKING %d\n", w.instanceID)
		w.headerWritten = true
	}
	fmt.Fprintf(w.out, format+"\n", args...)
}

// StartAttempt writes PLACE with request, host and timeout.
func (w *actionWriter) StartAttempt(request string, host uint32, timeout time.Duration) {
	w.writeLine("PLACE %s %d %d", request, host, timeout.Microseconds())
}

// CancelAttempt writes CANCEL with request and attempt.
func (w *actionWriter) CancelAttempt(request string, attempt int) {
	w.writeLine("CANCEL %s %d", request, attempt)
}

// Reject writes BOUNCE with request and the time after which a retry is welcome.
func (w *actionWriter) Reject(request string, retryAfter time.Duration) {
	w.writeLine("BOUNCE %s %d", request, retryAfter.Microseconds())
}

// Fail writes GIVE_UP with the request.
func (w *actionWriter) Fail(request string) { w.writeLine("GIVE_UP %s", request) }

// SendProbe writes TEST with the host.
func (w *actionWriter) SendProbe(host uint32) { w.writeLine("TEST %d", host) }

// SetTimer writes SCHEDULE with the delay and the constant 0.
func (w *actionWriter) SetTimer(after time.Duration) {
	w.writeLine("SCHEDULE %d 0", after.Microseconds())
}

// WatchEndpoints writes WATCH with the constant 1.
func (w *actionWriter) WatchEndpoints() { w.writeLine("WATCH 1") }

// AddToCounter writes INCR with the time to live, the amount and the counter's name.
func (w *actionWriter) AddToCounter(name uint64, amount float64, timeToLive time.Duration) {
	text := strconv.FormatFloat(amount, 'g', -1, 64)
	w.writeLine("INCR %d %s %d", timeToLive.Microseconds(), text, name)
}

// LogNote writes NOTE_DOWN with the text.
func (w *actionWriter) LogNote(text string) { w.writeLine("NOTE_DOWN %s", text) }

// SendGossip writes PUBLISH with the peer and the message in Base64.
func (w *actionWriter) SendGossip(peer int, message []byte) {
	w.writeLine("PUBLISH %d %s", peer, base64.StdEncoding.EncodeToString(message))
}
