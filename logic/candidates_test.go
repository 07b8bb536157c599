package logic

import (
	"fmt"
	"math"
	"testing"
	"time"

	"ravensill/gateway"
)

// watcher is a Witness over a member index that drops what the member index would trace.
type watcher struct {
	*simulatedGateway
	options []gateway.Candidate
	hosts   []uint32
	told    int
}

func (w *watcher) StartAttempt(req string, host uint32, timeout time.Duration) {
	w.hosts = append(w.hosts, host)
}
func (w *watcher) ObserveCandidates(_ string, _ uint32, o []gateway.Candidate) {
	w.options, w.told = append(w.options[:0], o...), w.told+1
}

// The chosen host is the first of the options; their chances add up to one; over customers each host with a chance is
// chosen as often as that says, and what the Witness is told changes no decision.
func TestCandidatesOfAnAttempt(t *testing.T) {
	var picked [2][]uint32
	for on := range 2 {
		w := newSimulation(1, 8, nil)
		s := w.gateways[0]
		watch := &watcher{simulatedGateway: s}
		var out gateway.Actions = watch
		if on == 0 {
			out = struct{ gateway.Actions }{watch} // hides what the Witness adds
		}
		chances, chosen := map[uint32]float64{}, map[uint32]float64{}
		for i := range 4000 {
			w.now = w.now.Add(ms)
			s.gateway.Decide(&gateway.Batch{Now: w.now, Events: []gateway.Event{{Kind: gateway.RequestArrived, RequestID: fmt.Sprint(i),
				Customer: fmt.Sprint("c", i), Deadline: w.now.Add(time.Second), Units: 1, Spread: 1}}}, out)
			if len(watch.hosts) != i+1 {
				t.Fatalf("req %d is not dispatched", i)
			}
			if on == 1 {
				sum := 0.0
				for k, o := range watch.options {
					sum += o.Chance
					chances[o.Host] += o.Chance
					if !(o.Load > 0 && o.Load < math.Inf(1)) || k == 1 && o.Chance == 0 && len(watch.options) > 2 &&
						watch.options[2].Chance > 0 {
						t.Fatalf("options %+v", watch.options)
					}
				}
				if first := watch.options[0]; first.Host != watch.hosts[i] || math.Abs(sum-1) > 1e-9 || first.Chance == 0 {
					t.Fatalf("host %d of %+v", watch.hosts[i], watch.options)
				}
				chosen[watch.hosts[i]]++
			}
			if i%3 == 0 {
				for _, h := range s.gateway.endpoints.all {
					if len(h.inFlight) > 0 {
						x := h.inFlight[0]
						s.gateway.Decide(&gateway.Batch{Now: w.now, Events: []gateway.Event{{Kind: gateway.AttemptEnded, RequestID: x.request.id,
							Host: h.id, Attempt: x.number, Latency: ms * time.Duration(h.id), Closed: true}}}, out)
					}
				}
			}
		}
		for h, n := range chances {
			if n > 100 && math.Abs(chosen[h]-n) > 5*math.Sqrt(n) {
				t.Errorf("host %d was chosen %g times, by the chances told %.0f", h, chosen[h], n)
			}
		}
		if told := []int{0, 4000}[on]; watch.told != told {
			t.Errorf("told %d times, not %d", watch.told, told)
		}
		picked[on] = watch.hosts
	}
	if fmt.Sprint(picked[0]) != fmt.Sprint(picked[1]) {
		t.Error("the decisions differ")
	}
}

// The cost of a request in the module without and with a Witness.
func BenchmarkConsidered(b *testing.B) {
	for on, name := range []string{"off", "on"} {
		b.Run(name, func(b *testing.B) {
			w := newSimulation(1, 12, func(w *simulation) { w.plans[0].Rate, w.plans[0].Burst = 1e9, 1e9 })
			s := w.gateways[0]
			watch := &watcher{simulatedGateway: s}
			var out gateway.Actions = watch
			if on == 0 {
				out = struct{ gateway.Actions }{watch}
			}
			round := &gateway.Batch{Events: make([]gateway.Event, 1)}
			b.ReportAllocs()
			for b.Loop() {
				w.now = w.now.Add(ms)
				watch.hosts = watch.hosts[:0]
				round.Now, round.Events[0] = w.now, gateway.Event{Kind: gateway.RequestArrived, RequestID: "r", Customer: "c",
					Deadline: w.now.Add(time.Second), Units: 1, Spread: 1}
				s.gateway.Decide(round, out)
				round.Events[0] = gateway.Event{Kind: gateway.AttemptEnded, RequestID: "r", Latency: 5 * ms, Closed: true}
				s.gateway.Decide(round, out)
			}
		})
	}
}
