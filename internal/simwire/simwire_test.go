package simwire

import (
	"fmt"
	"strings"
	"testing"

	"ravensill/gateway"
	"ravensill/internal/config"
	"ravensill/internal/golden"
)

const settingsJSON = `{"position":1,"balancers":3,"limits":{"max_attempts":3,"peer_messages":true},"new_key":[1],` +
	`"profiles":[{"effect":"keyed","group":"zone","window_us":5000000,"target_us":800000}],` +
	`"plans":[{"rate":2.5,"parallel":2}],` +
	`"report":{"how":"inline","names":["utilization","strange"]},"rules":{"start_capacity":0.2,"fall_us":3}}`

// recorder is a Decider that writes the events it gets to a trace, and takes one to three actions for some kinds.
type recorder struct{ events *strings.Builder }

func (r recorder) Decide(in *gateway.Batch, out gateway.Actions) {
	for _, e := range in.Events {
		fmt.Fprintf(r.events, "%d: %+v\n", in.Now, e)
		switch e.Kind {
		case gateway.RequestArrived:
			out.StartAttempt(e.RequestID, 7, 80_000_000)
			out.SetTimer(500_000_000)
		case gateway.AttemptEnded:
			out.Reject(e.RequestID, 250_000_000)
			out.Fail(e.RequestID)
			out.CancelAttempt(e.RequestID, e.Attempt)
		case gateway.EndpointsListed:
			out.WatchEndpoints()
			out.SendProbe(e.Endpoints[0].Host)
			out.LogNote("two hosts known")
		case gateway.GossipReceived:
			out.SendGossip(e.Peer, e.Message)
		}
	}
}

// serve runs recorders on the input and returns the output. It writes the settings at each start, and all events, to
// trace.
func serve(in string, trace *strings.Builder) (string, error) {
	start := func(seed uint64, settings *config.Settings) Decider {
		fmt.Fprintf(trace, "start %d %+v\n%+v\n%+v\n", seed, settings.Membership, settings.Classes, settings.Plans)
		fmt.Fprintf(trace, "%+v\n%+v\n%+v\n", settings.Limits, settings.SlowStart, settings.LoadReport)
		return recorder{trace}
	}
	var out strings.Builder
	err := Serve(strings.NewReader(in), &out, start)
	return out.String(), err
}

// startedBatch is the beginning of a batch: it starts instance 3 and announces a list of two endpoints to it.
const startedBatch = "MARK 5\nON 3\nPOWER_ON 99 " + settingsJSON + `
INVENTORY 0 2
M 7 1 0 4 Running 1.5 -
M 8 0 0 0 Stopping 1 4
ANNOUNCE warm_copy 0 1
`

func TestServeDecodesEventsAndWritesActions(t *testing.T) {
	in := "MARK 1\nYOUR_TURN\n" + startedBatch + `YOUR_TURN
MARK 8
ON 3
ARRIVAL r-a 0 0 c-x 8652250 2 3 1 3
TIMER 77
ATTEMPT_END r-a 1 7 3 done 18500 86 0 0.62,-
FIRST r-a 0 9250 7
CLIENT_GONE r-a
FROM_PEER 2 aGkgNw==
FROM_PEER 0 a$
ECHO 7 1400 etimedout -
YOUR_TURN
MARK 9
ON 3
KILL
YOUR_TURN
`
	var trace strings.Builder
	out, err := serve(in, &trace)
	golden.Check(t, fmt.Sprintf("%s%sending: %v\n", trace.String(), out, err))
}

// A malformed line must end Serve with an error that names line and field, and the reply with a FAULT.
func TestServeRejectsMalformedLine(t *testing.T) {
	var trace strings.Builder
	for _, line := range []string{
		"ARRIVAL r-a 0 0 c-x 8652250 2 3 1",
		"ARRIVAL r-a 0 0 c-x 8652250 2 3 1 1 9",
		"ARRIVAL r-a 1 0 c-x 5 2 3 1 1",
		"ARRIVAL r-a 0 0 c-x -5 2 3 1 1",
		"ARRIVAL r-a 0 0 c-x 5 two 3 1 1",
		"ATTEMPT_END r-a 2 7 0 done 1 0 0 -",
		"ATTEMPT_END r-a 1 7 0 fine 1 0 0 -",
		"ECHO 4294967296 1 done -",
		"ECHO 7 1 done 0.5,x",
		"HELLO 1",
		"FROM_PEER 3 aGkgNw==",
		"ANNOUNCE total 16 1",
		"INVENTORY 0 1\nN 7",
		"INVENTORY 0 1\nM 7 0 0 0 Resting 1 -",
		"POWER_ON 1 {\"plans\":[{\"rate\":\"x\"}]}",
		"POWER_ON 1 {",
		"POWER_ON x {}",
		"ON -1",
		"ON 4\nKILL",
		"MARK 9",
		"COUNTER_REPLY done 0 1 2",
		"TIMER",
		"YOUR_TURN 1",
	} {
		out, err := serve(startedBatch+line+"\nYOUR_TURN\n", &strings.Builder{})
		fmt.Fprintf(&trace, "%s\n  %v\n", line, err)
		if !strings.Contains(out, "\nFAULT ") && !strings.HasPrefix(line, "ON -1") {
			fmt.Fprintf(&trace, "  no FAULT in %q\n", out)
		}
	}
	_, err := serve("TIMER 1\n", &strings.Builder{})
	fmt.Fprintf(&trace, "outside a batch\n  %v\n", err)
	golden.Check(t, trace.String())
}

// With the setting weights=live, a host's weight says nothing of its capacity, and each must be read as 1. Another
// instance that shares the endpoint list, without the setting, must still read the listed weight.
func TestServeReadsLiveWeightsAsEqual(t *testing.T) {
	const in = `MARK 5
ON 3
POWER_ON 99 {"balancers":1,"weights":"live"}
ON 4
POWER_ON 99 {"balancers":1}
INVENTORY 0 1
M 7 1 0 4 Running 1.5 -
ON 3
ANNOUNCE total 0 1
ON 4
ANNOUNCE total 0 1
YOUR_TURN
`
	var trace strings.Builder
	_, err := serve(in, &trace)
	var weights []string
	for _, text := range strings.Split(trace.String(), "Weight:")[1:] {
		weight, _, _ := strings.Cut(text, " ")
		weights = append(weights, weight)
	}
	if err != nil || fmt.Sprint(weights) != "[1 1.5]" {
		t.Errorf("weights %v: %v", weights, err)
	}
}
