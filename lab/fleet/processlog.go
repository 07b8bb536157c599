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
	maxLogLines  = 4000    // that are kept of a process, over all incarnations
	maxLineBytes = 1 << 20 // of a log line
	tailLines    = 8       // that errors show
)

// LineWithoutEvent is the event under which lines without one are counted, such as those of a stack trace.
const LineWithoutEvent = "unnamed"

// hostStateEvent is the log event by which a gateway reports a host's state.
const hostStateEvent = "endpoint_state"

// processLog holds the latest lines of a process's log. Lines are numbered from 0 over all incarnations.
type processLog struct {
	lines    []string
	dropped  int // lines before the first of lines
	firstOwn int // number of the first line of the present incarnation
	waiters  []*lineWaiter
}

// lineWaiter waits for a line that contains a text.
type lineWaiter struct {
	text string
	line chan string // closed if the process ends before
}

// next returns the number of the line to come.
func (l *processLog) next() int { return l.dropped + len(l.lines) }

// startIncarnation has the lines to come belong to a new incarnation.
func (l *processLog) startIncarnation() { l.firstOwn = l.next() }

// from returns the lines from a number on.
func (l *processLog) from(number int) []string {
	return l.lines[min(max(number-l.dropped, 0), len(l.lines)):]
}

// add adds a line and wakes those who wait for it.
func (l *processLog) add(line string) {
	l.lines = append(l.lines, line)
	if len(l.lines) > maxLogLines {
		l.dropped++
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

// closeWaiters ends all waits at the end of an incarnation.
func (l *processLog) closeWaiters() {
	for _, waiter := range l.waiters {
		close(waiter.line)
	}
	l.waiters = nil
}

// addresses are those at which a gateway listens.
type addresses struct {
	clients string
	peers   netip.AddrPort // not valid: none
}

// listenAddresses returns the addresses in the log line of a process that serves.
func listenAddresses(line string) addresses {
	peers, _ := netip.ParseAddrPort(logline.Value(line, "peer_listen"))
	return addresses{clients: logline.Value(line, "listen"), peers: peers}
}

// follow reads a process's log until it ends, and records its end.
func (p *Process) follow(command *exec.Cmd, log io.ReadCloser, exited chan<- struct{}) {
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

// receiveLine logs and counts a line, and acts on the events that concern the process itself.
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

// WaitServing waits until the present incarnation serves.
func (p *Process) WaitServing(ctx context.Context) error {
	_, err := p.WaitLine(ctx, "event="+p.ReadyEvent)
	return err
}

// WaitLine waits for a line of the present incarnation that contains a text. A line logged before counts too.
func (p *Process) WaitLine(ctx context.Context, text string) (string, error) {
	return p.WaitLineAfter(ctx, -1, text)
}

// WaitLineAfter is WaitLine for lines after a mark that Mark returned; -1 means all of the present incarnation.
func (p *Process) WaitLineAfter(ctx context.Context, mark int, text string) (string, error) {
	waiter := &lineWaiter{text, make(chan string, 1)}
	if !p.Ask(func() { p.wait(waiter, mark) }) {
		return "", fmt.Errorf("waiting for %q of %s: %w", text, p.Name, errActorStopped)
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

// wait hands a waiter its line, or registers it.
func (p *Process) wait(waiter *lineWaiter, mark int) {
	if mark < 0 {
		mark = p.log.firstOwn
	}
	for _, line := range p.log.from(mark) {
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

// LogEnd returns the present end of the log.
func (p *Process) LogEnd() (mark int) {
	p.Ask(func() { mark = p.log.next() })
	return mark
}

// Tail returns the latest lines.
func (p *Process) Tail(count int) (text string) {
	p.Ask(func() { text = strings.Join(p.log.lines[max(0, len(p.log.lines)-count):], "\n") })
	return text
}

// LinesAfter returns the lines after a mark that Mark returned, or 0, and the mark after the last of them.
func (p *Process) LinesAfter(mark int) (lines []string, next int) {
	p.Ask(func() {
		lines = slices.Clone(p.log.from(mark))
		next = p.log.next()
	})
	return lines, next
}

// EventLines returns the kept lines of an event, over all incarnations.
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

// EventCounts returns the number of log lines by event, over all incarnations.
func (p *Process) EventCounts() (counts map[string]int) {
	p.Ask(func() { counts = maps.Clone(p.eventCounts) })
	return counts
}

// Events returns all that happened to the process, in order.
func (p *Process) Events() (events []ProcessEvent) {
	p.Ask(func() { events = slices.Clone(p.events) })
	return events
}
