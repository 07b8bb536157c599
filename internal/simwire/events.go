package simwire

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"ravensill/gateway"
)

const retryBit = 2 // bit of ARRIVAL's field bits: the request is a retry

// eventDecoders contains, by message type, the functions that decode an event of an instance. ANNOUNCE is not among
// them, because it needs the endpoint lists too.
var eventDecoders = map[string]func(r *fieldReader, i *instance) gateway.Event{
	"ARRIVAL":       decodeArrival,
	"ATTEMPT_END":   decodeAttemptEnd,
	"FIRST":         decodeStreamStart,
	"CLIENT_GONE":   decodeClientGone,
	"FROM_PEER":     decodeGossip,
	"ECHO":          decodeProbeEnd,
	"TIMER":         decodeTimer,
	"COUNTER_REPLY": decodeCounterReply,
}

func decodeArrival(r *fieldReader, i *instance) gateway.Event {
	return gateway.Event{
		Kind:         gateway.RequestArrived,
		RequestID:    r.text("xid"),
		Class:        r.integer("type", i.classes-1),
		Plan:         r.integer("grade_of_service", i.plans-1),
		Customer:     r.text("account"),
		Deadline:     r.instant("deadline_us"),
		Units:        r.decimal("weight"),
		Spread:       r.integer("n_entries", i.members),
		FirstGateway: r.integer("first", i.members-1),
		Retry:        r.integer("bits", math.MaxInt32)&retryBit != 0,
	}
}

func decodeAttemptEnd(r *fieldReader, _ *instance) gateway.Event {
	return gateway.Event{
		Kind:       gateway.AttemptEnded,
		RequestID:  r.text("xid"),
		Closed:     r.boolean("closed"),
		Host:       r.hostID("host"),
		Units:      r.decimal("billed"),
		Result:     r.result("disposition"),
		Latency:    r.duration("lag_us"),
		Usage:      r.integer("metered", math.MaxInt32),
		Attempt:    r.integer("send_no", math.MaxInt32),
		LoadReport: r.loadReport("pressure"),
	}
}

func decodeStreamStart(r *fieldReader, _ *instance) gateway.Event {
	return gateway.Event{
		Kind:      gateway.StreamStarted,
		RequestID: r.text("xid"),
		Attempt:   r.integer("send_no", math.MaxInt32),
		Latency:   r.duration("lag_us"),
		Host:      r.hostID("host"),
	}
}

func decodeClientGone(r *fieldReader, _ *instance) gateway.Event {
	return gateway.Event{Kind: gateway.ClientGone, RequestID: r.text("xid")}
}

func decodeGossip(r *fieldReader, i *instance) gateway.Event {
	return gateway.Event{
		Kind:    gateway.GossipReceived,
		Peer:    r.integer("sender", i.members-1),
		Message: r.gossip("contents"),
	}
}

func decodeProbeEnd(r *fieldReader, _ *instance) gateway.Event {
	return gateway.Event{
		Kind:       gateway.ProbeEnded,
		Host:       r.hostID("host"),
		Latency:    r.duration("lag_us"),
		Result:     r.result("disposition"),
		LoadReport: r.loadReport("pressure"),
	}
}

func decodeTimer(r *fieldReader, _ *instance) gateway.Event {
	r.unsigned("nonce")
	return gateway.Event{Kind: gateway.TimerFired}
}

func decodeCounterReply(r *fieldReader, _ *instance) gateway.Event {
	return gateway.Event{
		Kind:         gateway.CounterReplied,
		Result:       r.result("disposition"),
		CounterName:  r.unsigned("name"),
		CounterTotal: r.signedDecimal("total"),
		Latency:      r.duration("lag_us"),
	}
}

// endpointLists contains the latest endpoint list of each INVENTORY number. All instances share the lists, so that no
// instance may change them.
type endpointLists [16][]gateway.Endpoint

// decodeAnnouncement reads an ANNOUNCE, which gives an instance an endpoint list, or reports that none is available.
func (l *endpointLists) decodeAnnouncement(r *fieldReader, i *instance) (gateway.Event, error) {
	kind := gateway.ListKind(r.choice("kind", "incr", "total", "warm_copy", "lost"))
	listNumber := r.text("sheet")
	r.text("gen")
	event := gateway.Event{Kind: gateway.EndpointsListed, ListKind: kind}
	if kind == gateway.ListUnavailable {
		return event, nil
	}
	number, err := strconv.Atoi(listNumber)
	if err != nil || number < 0 || number >= len(l) {
		return gateway.Event{}, fmt.Errorf("ANNOUNCE: sheet: %.40q is no list number", listNumber)
	}
	event.Endpoints = l[number]
	if i.equalWeights {
		event.Endpoints = slices.Clone(event.Endpoints) // because other instances share the list
		for j := range event.Endpoints {
			event.Endpoints[j].Weight = 1
		}
	}
	return event, nil
}

// decodeEndpoint reads the M line of one endpoint of an INVENTORY.
func decodeEndpoint(r *fieldReader) gateway.Endpoint {
	return gateway.Endpoint{
		Host:      r.hostID("host"),
		Zone:      r.integer("az", math.MaxInt32),
		Machine:   r.integer("class_of_host", math.MaxInt32),
		Cell:      r.integer("pod", math.MaxInt32),
		State:     gateway.EndpointState(r.choice("status", "Running", "Stopping", "Deleted")),
		Weight:    r.decimal("share"),
		StartedAt: r.instant("since_us"),
	}
}
