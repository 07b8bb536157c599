package simwire

import (
	"fmt"
	"strings"
	"testing"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

const env = `{"position":1,"balancers":3,"limits":{"max_attempts":3,"peer_messages":true},"new_key":[1],` +
	`"profiles":[{"effect":"keyed","group":"zone","window_us":5000000,"target_us":800000}],"plans":[{"rate":2.5,"parallel":2}],` +
	`"report":{"how":"inline","names":["utilization","strange"]},"rules":{"start_capacity":0.2,"fall_us":3}}`

// echo writes down all that it is handed, and answers each event with some decision.
type echo struct{ said *strings.Builder }

func (d echo) Decide(in *gateway.Batch, out gateway.Actions) {
	for _, e := range in.Events {
		fmt.Fprintf(d.said, "%d: %+v\n", in.Now, e)
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

func serve(in string, said *strings.Builder) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(in), &out, func(seed uint64, seat gateway.Membership, fronts []gateway.RequestClass,
		plans []gateway.Plan, limits gateway.Limits, cold gateway.SlowStart, report gateway.LoadReportForm) Decider {
		fmt.Fprintf(said, "start %d %+v\n%+v\n%+v\n%+v\n%+v\n%+v\n", seed, seat, fronts, plans, limits, cold, report)
		return echo{said}
	})
	return out.String(), err
}

const on = "MARK 5\nON 3\nPOWER_ON 99 " + env + "\nINVENTORY 0 2\nM 7 1 0 4 Running 1.5 -\nM 8 0 0 0 Stopping 1 4\n" +
	"ANNOUNCE warm_copy 0 1\n"

func TestRoundTrip(t *testing.T) { // wire lines to house words and back
	var said strings.Builder
	out, err := serve("MARK 1\nYOUR_TURN\n"+on+"YOUR_TURN\nMARK 8\nON 3\nARRIVAL r-a 0 0 c-x 8652250 2 3 1 3\n"+
		"TIMER 77\nATTEMPT_END r-a 1 7 3 done 18500 86 0 0.62,-\nFIRST r-a 0 9250 7\nCLIENT_GONE r-a\n"+
		"FROM_PEER 2 aGkgNw==\nFROM_PEER 0 a$\nECHO 7 1400 etimedout -\nYOUR_TURN\nMARK 9\nON 3\nKILL\nYOUR_TURN\n", &said)
	golden.Check(t, fmt.Sprintf("%s%sending: %v\n", said.String(), out, err))
}

func TestMalformed(t *testing.T) { // a plain message that names line and field, and a FAULT in the reply
	var all strings.Builder
	for _, line := range []string{
		"ARRIVAL r-a 0 0 c-x 8652250 2 3 1", "ARRIVAL r-a 0 0 c-x 8652250 2 3 1 1 9", "ARRIVAL r-a 1 0 c-x 5 2 3 1 1",
		"ARRIVAL r-a 0 0 c-x -5 2 3 1 1", "ARRIVAL r-a 0 0 c-x 5 two 3 1 1", "ATTEMPT_END r-a 2 7 0 done 1 0 0 -",
		"ATTEMPT_END r-a 1 7 0 fine 1 0 0 -", "ECHO 4294967296 1 done -", "ECHO 7 1 done 0.5,x", "HELLO 1",
		"FROM_PEER 3 aGkgNw==", "ANNOUNCE total 16 1", "INVENTORY 0 1\nN 7", "INVENTORY 0 1\nM 7 0 0 0 Resting 1 -",
		"POWER_ON 1 {\"plans\":[{\"rate\":\"x\"}]}", "POWER_ON 1 {", "POWER_ON x {}", "ON -1", "ON 4\nKILL", "MARK 9",
		"COUNTER_REPLY done 0 1 2", "TIMER", "YOUR_TURN 1",
	} {
		out, err := serve(on+line+"\nYOUR_TURN\n", &strings.Builder{})
		fmt.Fprintf(&all, "%s\n  %v\n", line, err)
		if !strings.Contains(out, "\nFAULT ") && !strings.HasPrefix(line, "ON -1") {
			fmt.Fprintf(&all, "  no FAULT in %q\n", out)
		}
	}
	_, err := serve("TIMER 1\n", &strings.Builder{})
	fmt.Fprintf(&all, "outside a batch\n  %v\n", err)
	golden.Check(t, all.String())
}

// TestLive: shares of the moment are no sizes. Of two instances that share a sheet, only the one that is told so sees 1.
func TestLive(t *testing.T) {
	var said strings.Builder
	_, err := serve("MARK 5\nON 3\nPOWER_ON 99 {\"balancers\":1,\"weights\":\"live\"}\nON 4\nPOWER_ON 99 {\"balancers\":1}\n"+
		"INVENTORY 0 1\nM 7 1 0 4 Running 1.5 -\nON 3\nANNOUNCE total 0 1\nON 4\nANNOUNCE total 0 1\nYOUR_TURN\n", &said)
	var shares []string
	for _, s := range strings.Split(said.String(), "Weight:")[1:] {
		shares = append(shares, s[:strings.IndexByte(s, ' ')])
	}
	if err != nil || fmt.Sprint(shares) != "[1 1.5]" {
		t.Errorf("shares %v: %v", shares, err)
	}
}
