package fleet

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"ravensill/lab/emulator"
)

// Check is a rule that must hold at the end of a run.
type Check struct {
	Name string
	// FindViolation returns a short text about what does not hold; "" if the rule holds.
	FindViolation func(r *Report) string
}

// CommonChecks are the rules that hold in every run, whatever is injected.
var CommonChecks = []Check{
	ExactlyOneResult,
	LostOnlyByFault,
	OnlyListedHosts,
	NothingToDrainedHosts,
	NonIdempotentAtMostOnce,
	NoCrash,
}

const (
	shownViolations = 3
	// busyDelay is the delay of the emulators from which on their slowness may be the cause of missing successes.
	busyDelay = 500 * time.Millisecond
)

// summarize returns the number of violations and the first few of them; "" if there are none.
func summarize(violations []string) string {
	if len(violations) == 0 {
		return ""
	}
	shown := violations[:min(shownViolations, len(violations))]
	return fmt.Sprintf("%d: %s", len(violations), strings.Join(shown, "; "))
}

// ExactlyOneResult is a check: every request has exactly one result, and a success has a value that a host made for it.
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
			violations = append(violations, request.ID+" got the value of another")
		}
		if request.Result == emulator.Succeeded && !r.ranAtItsHost(request) {
			violations = append(violations, request.ID+" succeeded, but "+request.Host+" never received it")
		}
	}
	return summarize(violations)
}}

// ranAtItsHost reports whether the host that answered a request received it while it was in flight.
func (r *Report) ranAtItsHost(request emulator.Request) bool {
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

// LostOnlyByFault is a check: a request has no answer only if its gateway was down, killed or frozen while it was in
// flight.
var LostOnlyByFault = Check{"no request lost without a fault", func(r *Report) string {
	var violations []string
	for _, request := range r.Clients.Requests {
		switch request.Result {
		case emulator.ConnectionRefused, emulator.ConnectionReset, emulator.ClosedInFlight, emulator.Unanswered:
		default:
			continue
		}
		if r.Gateways[request.Gateway].faulty(request.SentAt, request.EndedAt) {
			continue
		}
		sinceStart := time.Duration(request.SentAt - r.StartedAt)
		violations = append(violations, fmt.Sprintf("%s at %s: %s, sent %.1f s after the load's start",
			request.ID, GatewayName(request.Gateway), request.Result, sinceStart.Seconds()))
	}
	return summarize(violations)
}}

// faulty reports whether the gateway did not serve, or was frozen, at some time in an interval.
func (g *GatewayReport) faulty(from, to int64) bool {
	down := true // until it serves first
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

// OnlyListedHosts is a check: no attempt was made at a host that was never in the host list of its gateway.
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
				violations = append(violations, attemptText(command, request.Gateway, host.ID))
			}
		}
	}
	return summarize(violations)
}}

// attemptText names an attempt in a violation.
func attemptText(command emulator.Command, gateway int, host string) string {
	return fmt.Sprintf("%s by %s to %s", command.ID, GatewayName(gateway), host)
}

// interval is a time from, exclusively, to.
type interval struct {
	from int64
	to   int64
}

// never is later than all times of a run.
const never = math.MaxInt64

// NothingToDrainedHosts is a check: a request that was sent after its gateway had logged that a host drains or is gone
// does not reach that host until the host is listed anew or the gateway is restarted.
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
				drains[key] = append(drains[key], r.drain(event, r.Gateways[gateway].Events[i:]))
			}
		}
	}
	var violations []string
	for _, host := range r.Hosts {
		for _, command := range host.Commands {
			request, _ := r.Request(command.ID)
			for _, drain := range drains[pair{request.Gateway, host.ID}] {
				if request.SentAt > drain.from && command.ReceivedAt < drain.to {
					violations = append(violations, attemptText(command, request.Gateway, host.ID))
				}
			}
		}
	}
	return summarize(violations)
}}

// drain returns how long the drain that a gateway logged binds it. later are the gateway's events from that one on.
func (r *Report) drain(logged ProcessEvent, later []ProcessEvent) interval {
	drain := interval{logged.At, never}
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

// NonIdempotentAtMostOnce is a check: a request that is not idempotent ran at one host at most, unless its client sent
// it again after a close.
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
	return summarize(violations)
}}

// panicEvent is the log event of a panic that the gateway recovered from.
const panicEvent = "panic"

// NoCrash is a check: no process panicked, printed a stack trace or ended without having been asked to, and no host
// received a command that no client sends.
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
			violations = append(violations, fmt.Sprintf("%s: %d commands that no client sent so", host.ID, host.MalformedCommands))
		}
	}
	return summarize(violations)
}}

// SuccessFraction returns a check: at least a fraction of the requests succeeded. It does not judge a run in which the
// emulators themselves were late by more than busyDelay.
func SuccessFraction(least float64) Check {
	return Check{fmt.Sprintf("%g of the requests succeeded", least), func(r *Report) string {
		fraction := float64(r.Results()[emulator.Succeeded]) / float64(max(1, len(r.Clients.Requests)))
		if fraction >= least {
			return ""
		}
		clients, hosts := r.EmulatorDelays()
		if max(clients, hosts) > busyDelay {
			return ""
		}
		return fmt.Sprintf("%.4f: %s", fraction, r.Summary())
	}}
}
