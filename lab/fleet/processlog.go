package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"os/exec"
	"slices"
	"strings"

	"ravensill/lab/actor"
	"ravensill/lab/logline"
)

const (
	maxLogLines  = 4000    // kept in memory for each process, over all incarnations
	maxLineBytes = 1 << 20 // longest log line that can be read
	tailLines    = 8       // shown in errors
)

// LineWithoutEvent is the event under which log lines that have no event are counted, such as the lines of a stack
// trace.
const LineWithoutEvent = "unnamed"

// hostStateEvent is the event of the log line that a gateway writes when a host's state changes.
const hostStateEvent = "endpoint_state"

// processLog holds the latest log lines of a process. Lines are numbered from 0, over all incarnations.
type processLog struct {
	lines            []string
	droppedLines     int // number of older lines that are no longer in lines
	incarnationStart int // number of the first line of the current incarnation
	waiters          []*lineWaiter
}

// lineWaiter is a pending call that waits for a log line containing a text.
type lineWaiter struct {
	text string
	line chan string // receives the line; closed if the process ends first
}

// nextNumber returns the number that the next line will get.
func (l *processLog) nextNumber() int { return l.droppedLines + len(l.lines) }

// startIncarnation assigns all later lines to a new incarnation.
func (l *processLog) startIncarnation() { l.incarnationStart = l.nextNumber() }

// linesFrom returns the kept lines with this number or a higher one.
func (l *processLog) linesFrom(number int) []string {
	return l.lines[min(max(number-l.droppedLines, 0), len(l.lines)):]
}

// add appends a line, drops the oldest one beyond maxLogLines and hands the line to the waiters whose text it contains.
func (l *processLog) add(line string) {
	l.lines = append(l.lines, line)
	if len(l.lines) > maxLogLines {
		l.droppedLines++
		l.lines = l.lines[1:]
	}
	waiting := l.waiters[:0]
	for _, waiter := range l.waiters {
		if strings.Contains(line, waiter.text) {
			waiter.line <- line
		} else {
			waiting = append(waiting, waiter)
		}
	}
	l.waiters = waiting
}

// closeWaiters ends all waits for a log line. The pending calls of WaitLine then fail, because the process has ended.
func (l *processLog) closeWaiters() {
	for _, waiter := range l.waiters {
		close(waiter.line)
	}
	l.waiters = nil
}

// addresses are the addresses at which a gateway listens.
type addresses struct {
	clients string
	peers   netip.AddrPort // for gossip; invalid if the gateway receives none
}

// listenAddresses returns the addresses in the log line by which a process says that it serves.
func listenAddresses(line string) addresses {
	peers, _ := netip.ParseAddrPort(logline.Value(line, "peer_listen"))
	return addresses{clients: logline.Value(line, "listen"), peers: peers}
}

// readLog passes the process's log line by line to the actor until the log ends. It then waits for the exit status,
// records the exit and closes exited.
func (p *Process) readLog(command *exec.Cmd, log io.ReadCloser, exited chan<- struct{}) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line := scanner.Text()
		p.Do(func() { p.receiveLine(line) })
	}
	log.Close()
	err := command.Wait()
	status := fmt.Sprint(command.ProcessState, err)
	p.Do(func() {
		p.onExit(status)
		close(exited)
	})
}

// receiveLine stores and counts a log line. It records an event for a host state, and for ReadyEvent also learns the
// addresses and calls OnServing.
func (p *Process) receiveLine(line string) {
	event, ok := logline.Event(line)
	if !ok {
		event = LineWithoutEvent
	}
	p.eventCounts[event]++
	switch event {
	case hostStateEvent:
		p.events = append(p.events, ProcessEvent{
			At:          actor.Now(),
			Kind:        HostStateLogged,
			Incarnation: p.incarnation,
			Host:        logline.Value(line, "id"),
			State:       logline.Value(line, "state"),
		})
	case p.ReadyEvent:
		p.record(Serving)
		p.addresses = listenAddresses(line)
		if p.OnServing != nil {
			p.OnServing(line)
		}
	}
	p.log.add(line)
}

// WaitServing waits until the current incarnation serves. It fails if the process ends first.
func (p *Process) WaitServing(ctx context.Context) error {
	_, err := p.WaitLine(ctx, "event="+p.ReadyEvent)
	return err
}

// WaitLine waits until the current incarnation has logged a line that contains a text, and returns that line. Lines
// that were logged before the call count too.
func (p *Process) WaitLine(ctx context.Context, text string) (string, error) {
	return p.WaitLineAfter(ctx, -1, text)
}

// WaitLineAfter is like WaitLine, but searches only the lines from the position mark on, which LogEnd returned. A mark
// of -1 stands for all lines of the current incarnation.
func (p *Process) WaitLineAfter(ctx context.Context, mark int, text string) (string, error) {
	waiter := &lineWaiter{text, make(chan string, 1)}
	if !p.Ask(func() { p.addWaiter(waiter, mark) }) {
		return "", fmt.Errorf("waiting for log line %q of %s: %w", text, p.Name, errStopped)
	}
	select {
	case line, ok := <-waiter.line:
		if !ok {
			return "", fmt.Errorf("%s ended before it logged %q; last lines:\n%s", p.Name, text, p.Tail(tailLines))
		}
		return line, nil
	case <-ctx.Done():
		return "", fmt.Errorf("%s never logged %q: %w; last lines:\n%s", p.Name, text, ctx.Err(), p.Tail(tailLines))
	}
}

// addWaiter hands the waiter its line if that was already logged. Otherwise it registers the waiter, or closes its
// channel if the process is down.
func (p *Process) addWaiter(waiter *lineWaiter, mark int) {
	if mark < 0 {
		mark = p.log.incarnationStart
	}
	for _, line := range p.log.linesFrom(mark) {
		if strings.Contains(line, waiter.text) {
			waiter.line <- line
			return
		}
	}
	if !p.running {
		close(waiter.line)
		return
	}
	p.log.waiters = append(p.log.waiters, waiter)
}

// LogEnd returns the position after the last log line, for WaitLineAfter and LinesAfter.
func (p *Process) LogEnd() (mark int) {
	p.Ask(func() { mark = p.log.nextNumber() })
	return mark
}

// Tail returns the latest lines of the log, up to count, joined by newlines.
func (p *Process) Tail(count int) (text string) {
	p.Ask(func() { text = strings.Join(p.log.lines[max(0, len(p.log.lines)-count):], "\n") })
	return text
}

// LinesAfter returns the kept lines from a position on, which LogEnd returned or which is 0, and the position after the
// last of them.
func (p *Process) LinesAfter(mark int) (lines []string, next int) {
	p.Ask(func() {
		lines = slices.Clone(p.log.linesFrom(mark))
		next = p.log.nextNumber()
	})
	return lines, next
}

// EventLines returns the kept lines with an event, over all incarnations.
func (p *Process) EventLines(event string) (lines []string) {
	p.Ask(func() {
		for _, line := range p.log.lines {
			if name, _ := logline.Event(line); name == event {
				lines = append(lines, line)
			}
		}
	})
	return lines
}

// EventCounts returns the number of log lines by event, over all incarnations. Lines that are no longer kept are
// counted too.
func (p *Process) EventCounts() (counts map[string]int) {
	p.Ask(func() { counts = maps.Clone(p.eventCounts) })
	return counts
}

// Events returns everything that happened to the process, in order.
func (p *Process) Events() (events []ProcessEvent) {
	p.Ask(func() { events = slices.Clone(p.events) })
	return events
}
