package logic

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"ravensill/gateway"
)

// candidateRecorder is a simulated gateway that records the candidates and the chosen host of each attempt instead
// of writing the trace.
type candidateRecorder struct {
	*simulatedGateway
	candidates []gateway.Candidate // the candidates for the latest attempt
	hosts      []uint32            // chosen host of each attempt, in order
	observed   int                 // number of calls of ObserveCandidates
}

func (r *candidateRecorder) StartAttempt(_ string, host uint32, _ time.Duration) {
	r.hosts = append(r.hosts, host)
}

func (r *candidateRecorder) ObserveCandidates(_ string, _ uint32, candidates []gateway.Candidate) {
	r.candidates = append(r.candidates[:0], candidates...)
	r.observed++
}

// withoutObserver wraps a candidateRecorder so that it is no gateway.CandidateObserver.
type withoutObserver struct{ gateway.Actions }

// candidatesRun sends requests of different customers to one gateway and sums up the candidates that are reported.
type candidatesRun struct {
	t        *testing.T
	sim      *simulation
	recorder *candidateRecorder
	actions  gateway.Actions
	chances  map[uint32]float64 // sum of the candidates' chances, by host
	chosen   map[uint32]float64 // number of attempts, by host
}

func newCandidatesRun(t *testing.T, observed bool) *candidatesRun {
	sim := newSimulation(1, 8, nil)
	recorder := &candidateRecorder{simulatedGateway: sim.gateways[0]}
	r := &candidatesRun{
		t:        t,
		sim:      sim,
		recorder: recorder,
		actions:  recorder,
		chances:  map[uint32]float64{},
		chosen:   map[uint32]float64{},
	}
	if !observed {
		r.actions = withoutObserver{recorder}
	}
	return r
}

func (r *candidatesRun) decide(event gateway.Event) {
	r.recorder.gateway.Decide(&gateway.Batch{Now: r.sim.now, Events: []gateway.Event{event}}, r.actions)
}

// request sends request i, of a customer that no other request has.
func (r *candidatesRun) request(i int) {
	r.sim.now = r.sim.now.Add(ms)
	r.decide(gateway.Event{
		Kind:      gateway.RequestArrived,
		RequestID: fmt.Sprint(i),
		Customer:  fmt.Sprint("c", i),
		Deadline:  r.sim.now.Add(time.Second),
		Units:     1,
		Spread:    1,
	})
	if len(r.recorder.hosts) != i+1 {
		r.t.Fatalf("request %d was not sent", i)
	}
}

// check checks the candidates reported for request i and adds their chances to the sums.
func (r *candidatesRun) check(i int) {
	candidates := r.recorder.candidates
	host := r.recorder.hosts[i]
	sum := 0.0
	for k, c := range candidates {
		sum += c.Chance
		r.chances[c.Host] += c.Chance
		finite := c.Load > 0 && c.Load < math.Inf(1)
		nextWithoutChance := k == 1 && c.Chance == 0 && len(candidates) > 2 && candidates[2].Chance > 0
		if !finite || nextWithoutChance {
			r.t.Fatalf("a load is not finite, or a candidate without a chance precedes one with a chance: %+v", candidates)
		}
	}
	first := candidates[0]
	if first.Host != host || math.Abs(sum-1) > 1e-9 || first.Chance == 0 {
		r.t.Fatalf("host %d was chosen; want it first, with chances that add up to 1: candidates %+v", host, candidates)
	}
	r.chosen[host]++
}

// finishOneAtEachHost ends the first attempt in flight at each host with success, with a latency in proportion to
// the host's number.
func (r *candidatesRun) finishOneAtEachHost() {
	for _, e := range r.recorder.gateway.endpoints.all {
		if len(e.inFlight) == 0 {
			continue
		}
		a := e.inFlight[0]
		r.decide(gateway.Event{
			Kind:      gateway.AttemptEnded,
			RequestID: a.request.id,
			Host:      e.number,
			Attempt:   a.number,
			Latency:   ms * time.Duration(e.number),
			Closed:    true,
		})
	}
}

// The chosen host is the first candidate, the chances of a request add up to 1, and over many customers each host
// is chosen as often as its chances add up to. The same hosts are chosen without an observer.
func TestCandidatesOfAnAttempt(t *testing.T) {
	const requests = 4000
	var hosts [2][]uint32
	for k, observed := range []bool{false, true} {
		r := newCandidatesRun(t, observed)
		for i := range requests {
			r.request(i)
			if observed {
				r.check(i)
			}
			if i%3 == 0 {
				r.finishOneAtEachHost()
			}
		}
		for host, expected := range r.chances {
			if expected > 100 && math.Abs(r.chosen[host]-expected) > 5*math.Sqrt(expected) {
				t.Errorf("host %d was chosen %g times, want %.0f by the chances", host, r.chosen[host], expected)
			}
		}
		wantObserved := 0
		if observed {
			wantObserved = requests
		}
		if r.recorder.observed != wantObserved {
			t.Errorf("observed %d times, want %d", r.recorder.observed, wantObserved)
		}
		hosts[k] = r.recorder.hosts
	}
	if !slices.Equal(hosts[0], hosts[1]) {
		t.Error("hosts chosen with and without an observer differ")
	}
}

// BenchmarkRequestWithObserver measures a request without (off) and with (on) an observer of candidates.
func BenchmarkRequestWithObserver(b *testing.B) {
	for _, name := range []string{"off", "on"} {
		b.Run(name, func(b *testing.B) {
			sim := newSimulation(1, 12, func(sim *simulation) { sim.setQuota(1e9) })
			recorder := &candidateRecorder{simulatedGateway: sim.gateways[0]}
			var actions gateway.Actions = recorder
			if name == "off" {
				actions = withoutObserver{recorder}
			}
			batch := &gateway.Batch{Events: make([]gateway.Event, 1)}
			b.ReportAllocs()
			for b.Loop() {
				sim.now = sim.now.Add(ms)
				recorder.hosts = recorder.hosts[:0]
				batch.Now = sim.now
				batch.Events[0] = gateway.Event{
					Kind:      gateway.RequestArrived,
					RequestID: "r",
					Customer:  "c",
					Deadline:  sim.now.Add(time.Second),
					Units:     1,
					Spread:    1,
				}
				recorder.gateway.Decide(batch, actions)
				batch.Events[0] = gateway.Event{Kind: gateway.AttemptEnded, RequestID: "r", Latency: 5 * ms, Closed: true}
				recorder.gateway.Decide(batch, actions)
			}
		})
	}
}
