package fleet

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/hostileclients"
)

// Check is a rule that must hold at the end of a run.
type Check struct {
	Name string
	// FindViolation returns a short text that says what is violated, or "" if the rule holds.
	FindViolation func(r *Report) string
}

// CommonChecks are the rules that must hold in every run, whatever faults are injected.
var CommonChecks = []Check{
	ExactlyOneResult,
	LostOnlyByFault,
	OnlyListedHosts,
	NothingToDrainedHosts,
	NonIdempotentAtMostOnce,
	NothingAfterClientLeft,
	NoCrash,
}

const (
	maxShownViolations = 3
	// busyMachineDelay is the delay of the emulators above which a slow machine may be why requests did not succeed.
	busyMachineDelay = 500 * time.Millisecond
)

// summarizeViolations returns the number of violations and the texts of the first maxShownViolations, or "" if there
// are none.
func summarizeViolations(violations []string) string {
	if len(violations) == 0 {
		return ""
	}
	shown := violations[:min(maxShownViolations, len(violations))]
	return fmt.Sprintf("%d: %s", len(violations), strings.Join(shown, "; "))
}

// ExactlyOneResult requires that every request ends with exactly one result, and that each success carries the value
// that the answering host made for this request.
var ExactlyOneResult = Check{"exactly one result a request", func(r *Report) string {
	var violations []string
	if r.Unfinished > 0 {
		violations = append(violations, fmt.Sprintf("%d requests without one", r.Unfinished))
	}
	if r.Clients.UnexpectedAnswers > 0 {
		violations = append(violations, fmt.Sprintf("%d unexpected answers", r.Clients.UnexpectedAnswers))
	}
	for _, request := range r.Clients.Requests {
		if request.Result == emulator.WrongValue {
			violations = append(violations, request.ID+" got the value of another request")
		}
		if request.Result == emulator.Succeeded && !r.receivedByItsHost(request) {
			violations = append(violations, request.ID+" succeeded, but "+request.Host+" never received it")
		}
	}
	return summarizeViolations(violations)
}}

// receivedByItsHost reports whether the host that answered a request received it between the times at which the client
// sent it and got the answer.
func (r *Report) receivedByItsHost(request emulator.Request) bool {
	for _, host := range r.Hosts {
		if host.ID != request.Host {
			continue
		}
		commands := host.Commands
		first := sort.Search(len(commands), func(i int) bool { return commands[i].ReceivedAt >= request.SentAt })
		for _, command := range commands[first:] {
			if command.ReceivedAt > request.EndedAt {
				break
			}
			if command.ID == request.ID {
				return true
			}
		}
	}
	return false
}

// LostOnlyByFault requires an answer to every request, unless its gateway was down, killed or frozen at some time while
// the request was in flight.
var LostOnlyByFault = Check{"no request lost without a fault", func(r *Report) string {
	var violations []string
	for _, request := range r.Clients.Requests {
		switch request.Result {
		case emulator.ConnectionRefused, emulator.ConnectionReset, emulator.ClosedInFlight, emulator.Unanswered:
		default:
			continue
		}
		unavailable := r.Gateways[request.Gateway].unavailableDuring(request.SentAt, request.EndedAt)
		if unavailable || r.mayCloseUnread(request) {
			continue
		}
		violations = append(violations, r.describeLost(request))
	}
	return summarizeViolations(violations)
}}

// describeLost says which request was lost, when it was sent, and how late it was written on a new connection.
func (r *Report) describeLost(request emulator.Request) string {
	text := fmt.Sprintf("%s at %s: %s, sent %.1f s after the load's start", request.ID, GatewayName(request.Gateway),
		request.Result, time.Duration(request.SentAt-r.StartedAt).Seconds())
	if request.WrittenAfter > 0 {
		text += fmt.Sprintf(", written %v after the dial", request.WrittenAfter)
	}
	return text
}

// newConnectionGrace is the time for which a gateway whose places for clients are all taken keeps a new connection on
// which nothing arrives.
const newConnectionGrace = 100 * time.Millisecond

// clientLimitEvent is the event of the log line that a gateway writes when its places for clients are all taken.
const clientLimitEvent = "client_limit_reached"

// mayCloseUnread reports whether the gateway may have closed the request's new connection unread: its places were taken
// beside a crowd, and this process wrote the request late.
func (r *Report) mayCloseUnread(request emulator.Request) bool {
	if request.Result != emulator.ClosedInFlight || request.WrittenAfter <= newConnectionGrace {
		return false
	}
	if r.Gateways[request.Gateway].EventCounts[clientLimitEvent] == 0 {
		return false
	}
	return slices.ContainsFunc(r.Crowds, func(crowd CrowdReport) bool {
		return crowd.Gateway == request.Gateway && crowd.From <= request.EndedAt && crowd.To >= request.SentAt
	})
}

// unavailableDuring reports whether the gateway was not serving, or was frozen, at any time in [from, to]. Times are in
// nanoseconds of actor.Now.
func (g *GatewayReport) unavailableDuring(from, to int64) bool {
	down := true // until the first Serving event
	since := int64(0)
	for _, event := range g.Events {
		switch event.Kind {
		case Serving, Thawed:
			if down && since <= to && event.At >= from {
				return true
			}
			down = false
		case Killed, Frozen, Exited:
			if !down {
				down = true
				since = event.At
			}
		}
	}
	return down && since <= to
}

// OnlyListedHosts requires that a gateway sends an attempt to a host only after that host was in the host list that the
// gateway's agent receives, and that each attempt belongs to a client's request. Requests of crowds are not logged, so
// that they are left out.
var OnlyListedHosts = Check{"no attempt at a host never listed", func(r *Report) string {
	changesOf := map[string][]emulator.HostListChange{} // by host
	for _, change := range r.HostListChanges {
		for _, entry := range change.Entries {
			changesOf[entry.ID] = append(changesOf[entry.ID], change)
		}
	}
	var violations []string
	for _, host := range r.Hosts {
		for _, command := range host.Commands {
			if strings.HasPrefix(command.ID, hostileclients.IDPrefix) {
				continue
			}
			request, ok := r.Request(command.ID)
			if !ok {
				violations = append(violations, command.ID+" was sent by no client")
				continue
			}
			listed := slices.ContainsFunc(changesOf[host.ID], func(change emulator.HostListChange) bool {
				receives := change.Gateways == nil || slices.Contains(change.Gateways, request.Gateway)
				return change.At <= command.ReceivedAt && receives
			})
			if !listed {
				violations = append(violations, formatAttempt(command, request.Gateway, host.ID))
			}
		}
	}
	return summarizeViolations(violations)
}}

// formatAttempt describes an attempt in the text of a violation.
func formatAttempt(command emulator.Command, gateway int, host string) string {
	return fmt.Sprintf("%s by %s to %s", command.ID, GatewayName(gateway), host)
}

// interval is the time after from and before to, in nanoseconds of actor.Now.
type interval struct {
	from int64
	to   int64
}

// noEnd is the end of an interval that lasts until the end of the run.
const noEnd = math.MaxInt64

// NothingToDrainedHosts requires that a request does not reach a host if it was sent after its gateway had logged that
// the host is draining or gone. This holds until the host is listed as active again or the gateway is restarted.
var NothingToDrainedHosts = Check{"nothing for a drained host", func(r *Report) string {
	type pair struct {
		gateway int
		host    string
	}
	drains := map[pair][]interval{}
	for gateway := range r.Gateways {
		for i, event := range r.Gateways[gateway].Events {
			if event.Kind == HostStateLogged {
				key := pair{gateway, event.Host}
				drains[key] = append(drains[key], r.drainInterval(event, r.Gateways[gateway].Events[i:]))
			}
		}
	}
	var violations []string
	for _, host := range r.Hosts {
		for _, command := range host.Commands {
			request, _ := r.Request(command.ID)
			for _, drain := range drains[pair{request.Gateway, host.ID}] {
				if request.SentAt > drain.from && command.ReceivedAt < drain.to {
					violations = append(violations, formatAttempt(command, request.Gateway, host.ID))
				}
			}
		}
	}
	return summarizeViolations(violations)
}}

// drainInterval returns the time in which a gateway must send no new request to a host after it logged that the host is
// draining or gone. later are the gateway's events from that one on.
func (r *Report) drainInterval(logged ProcessEvent, later []ProcessEvent) interval {
	drain := interval{logged.At, noEnd}
	for _, event := range later {
		if event.Incarnation != logged.Incarnation || event.Kind == Exited {
			drain.to = min(drain.to, event.At)
		}
	}
	for _, change := range r.HostListChanges {
		for _, entry := range change.Entries {
			if entry.ID == logged.Host && entry.State == emulator.Active && change.At > logged.At {
				drain.to = min(drain.to, change.At)
			}
		}
	}
	return drain
}

// NonIdempotentAtMostOnce requires that at most one host executes a request that is not idempotent. The exception is a
// request that its client sent again because the gateway closed the connection.
var NonIdempotentAtMostOnce = Check{"no second run of a non-idempotent request", func(r *Report) string {
	nonIdempotent := map[string]bool{} // by class
	for _, load := range r.Scenario.Loads {
		for _, class := range load.Classes {
			nonIdempotent[class.Name] = class.Post && !class.Idempotent
		}
	}
	runs := map[string]int{}
	var violations []string
	for _, host := range r.Hosts {
		for _, command := range host.Commands {
			if command.Outcome == emulator.OutcomeBusy || !nonIdempotent[command.Class] {
				continue
			}
			runs[command.ID]++
			request, _ := r.Request(command.ID)
			if runs[command.ID] == 2 && !request.Resent {
				violations = append(violations, command.ID)
			}
		}
	}
	return summarizeViolations(violations)
}}

const (
	afterClientLeft = 100 * time.Millisecond // in which attempts may begin after their client has left
	socketSlack     = 50 * time.Millisecond  // by which each time limit grows on sockets
)

// NothingAfterClientLeft requires that no attempt begins after its client has left.
var NothingAfterClientLeft = Check{"no attempt after its client left", func(r *Report) string {
	limit := afterClientLeft + socketSlack + r.Clients.MaxDelay
	var violations []string
	for _, host := range r.Hosts {
		for _, command := range host.Commands {
			request, _ := r.Request(command.ID)
			late := time.Duration(command.ArrivedAt - request.EndedAt)
			if request.Result == emulator.GaveUp && late > limit {
				attempt := formatAttempt(command, request.Gateway, host.ID)
				violations = append(violations, fmt.Sprintf("%s, %v after", attempt, late))
			}
		}
	}
	return summarizeViolations(violations)
}}

// RejectedWithinWindow returns the check that a request of a class that a host may have run is rejected only if a
// repeat, after the retry-after time in the answer, comes within the deduplication window.
func RejectedWithinWindow(class string, window time.Duration) Check {
	return Check{"no rejection after the deduplication window", func(r *Report) string {
		limit := window + socketSlack + r.Clients.MaxDelay
		ranAt := r.firstRuns()
		var violations []string
		for _, request := range r.Clients.Requests {
			at, ran := ranAt[request.ID]
			if request.Class != class || request.Result != emulator.Rejected || !ran {
				continue
			}
			if late := time.Duration(request.EndedAt-at) + request.RetryAfter; late > limit {
				violations = append(violations, fmt.Sprintf("%s at %s: to be repeated %v after its run",
					request.ID, GatewayName(request.Gateway), late))
			}
		}
		return summarizeViolations(violations)
	}}
}

// firstRuns returns when each request first reached a host that did not turn it away, by the request's id. Times are in
// nanoseconds of actor.Now.
func (r *Report) firstRuns() map[string]int64 {
	ranAt := map[string]int64{}
	for _, host := range r.Hosts {
		for _, command := range host.Commands {
			if command.Outcome == emulator.OutcomeBusy {
				continue
			}
			if at, known := ranAt[command.ID]; !known || command.ReceivedAt < at {
				ranAt[command.ID] = command.ReceivedAt
			}
		}
	}
	return ranAt
}

// panicEvent is the event of the log line that a gateway writes when it recovers from a panic.
const panicEvent = "panic"

// NoCrash requires that no process panics, prints a stack trace or ends without having been asked to, and that no host
// receives a malformed command.
var NoCrash = Check{"no panic, no unexpected exit", func(r *Report) string {
	var violations []string
	for i, gateway := range r.Gateways {
		if lines := gateway.EventCounts[panicEvent] + gateway.EventCounts[LineWithoutEvent]; lines > 0 {
			violations = append(violations, fmt.Sprintf("%s: %d lines of panics or traces", GatewayName(i), lines))
		}
		for range UnexpectedExits(gateway.Events) {
			violations = append(violations, GatewayName(i)+" ended by itself")
		}
	}
	for _, host := range r.Hosts {
		if host.MalformedCommands > 0 {
			violations = append(violations, fmt.Sprintf("%s: %d malformed commands", host.ID,
				host.MalformedCommands))
		}
	}
	return summarizeViolations(violations)
}}

// SuccessFraction requires that at least a fraction of the requests succeed. It does not judge a run in which the
// emulators were late by more than busyMachineDelay, because then a slow machine may be the cause.
func SuccessFraction(minFraction float64) Check {
	return Check{fmt.Sprintf("%g of the requests succeeded", minFraction), func(r *Report) string {
		fraction := float64(r.Results()[emulator.Succeeded]) / float64(max(1, len(r.Clients.Requests)))
		if fraction >= minFraction {
			return ""
		}
		clients, hosts := r.EmulatorDelays()
		if max(clients, hosts) > busyMachineDelay {
			return ""
		}
		return fmt.Sprintf("%.4f: %s", fraction, r.Summary())
	}}
}
