package logic_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/config"
	"ravensill/logic"
)

const ms = time.Millisecond

type attempt struct {
	host           uint32
	startedAt, due gateway.Time
	called         bool // off
	skipped        bool // never sent: its client had left
}

type asked struct { // a request, as the rules see it
	id    string
	until gateway.Time
	out   *attempt
	sent  int
	ran   *attempt // the first that may have run
	done  bool
	gone  bool // its client left in this round: what is decided on what came before that counts for nothing
}

type call struct {
	name uint64
	at   gateway.Time
}

// referee plays clients, hosts, discovery and the counter to one gateway, as a node does, and holds every decision
// against the rules as the settings tell them.
type ruleChecker struct {
	*testing.T
	what    string
	front   gateway.RequestClass // as told
	limits  gateway.Limits
	now     gateway.Time
	rnd     *rand.Rand
	reqs    []*asked
	state   map[uint32]gateway.EndpointState
	calls   []call
	repeats int // of what may have run
	again   int // of what surely did not
	finals  [3]int
}

func (r *ruleChecker) find(id string) *asked {
	for _, q := range r.reqs {
		if q.id == id {
			return q
		}
	}
	return nil
}

func (r *ruleChecker) foul(q *asked, format string, args ...any) {
	r.Helper()
	r.Fatalf("%s: %s at %d ms: %s", r.what, q.id, r.now/gateway.Time(ms), fmt.Sprintf(format, args...))
}

func (r *ruleChecker) StartAttempt(id string, host uint32, timeout time.Duration) {
	q := r.find(id)
	zone := func(h uint32) uint32 { return h % 2 }
	cell := func(h uint32) uint32 { return h % 3 }
	switch ran, f := q.ran, r.front; {
	case q.done && !q.gone:
		r.foul(q, "sent after its end")
	case q.out != nil:
		r.foul(q, "two attempts are out")
	case q.sent >= r.limits.MaxAttempts:
		r.foul(q, "attempt %d", q.sent)
	case r.state[host] != gateway.Running:
		r.foul(q, "sent to a host that leaves")
	case ran == nil && q.sent > 0:
		r.again++
	case ran == nil:
	case f.Effect == gateway.NonIdempotent:
		r.foul(q, "may have run, and is sent again")
	case f.Effect == gateway.Deduplicated && (r.now > ran.startedAt.Add(f.DedupWindow) || f.Group == gateway.SameZone && zone(host) != zone(ran.host) ||
		f.Group == gateway.SameCell && cell(host) != cell(ran.host)):
		r.foul(q, "may have run, and is sent again past its window or group")
	default:
		r.repeats++
	}
	q.sent++
	q.out = &attempt{host: host, startedAt: r.now, due: q.until, skipped: q.gone}
	if timeout > 0 {
		q.out.due = min(q.until, r.now.Add(timeout))
	}
}

func (r *ruleChecker) final(id string, kind int) {
	q := r.find(id)
	if q.gone {
		return
	}
	if q.done {
		r.foul(q, "a second final answer")
	}
	if f := r.front; kind == 0 && (q.ran != nil || q.out != nil) && (f.Effect == gateway.NonIdempotent ||
		f.Effect == gateway.Deduplicated && f.Group != gateway.AllHosts) {
		r.foul(q, "may have run, and a repeat is told to be harmless")
	}
	if f := r.front; kind == 0 && q.ran != nil && f.Effect == gateway.Deduplicated && r.now > q.ran.startedAt.Add(f.DedupWindow) {
		r.foul(q, "may have run, and a repeat is invited past its window")
	}
	q.done = true
	r.finals[kind]++
}
func (r *ruleChecker) Reject(id string, _ time.Duration) { r.final(id, 0) }
func (r *ruleChecker) Fail(id string)                    { r.final(id, 1) }
func (r *ruleChecker) CancelAttempt(id string, _ int) {
	if q := r.find(id); q.out != nil {
		q.out.called = true
	}
}
func (r *ruleChecker) AddToCounter(name uint64, _ float64, _ time.Duration) {
	r.calls = append(r.calls, call{name, r.now})
}
func (r *ruleChecker) SendGossip(int, []byte) {}
func (r *ruleChecker) SendProbe(uint32)       { r.Fatal(r.what, ": probes") }
func (r *ruleChecker) SetTimer(time.Duration) {}
func (r *ruleChecker) WatchEndpoints()        {}
func (r *ruleChecker) LogNote(string)         {}

// ends gives how the attempt of a request ends now, if it does.
func (r *ruleChecker) ends(q *asked) (e gateway.Event, ok bool) {
	results := []gateway.Result{gateway.Succeeded, gateway.Succeeded, gateway.Errored, gateway.Busy, gateway.Unreachable, gateway.Disconnected,
		gateway.Malformed, gateway.NotSent}
	res := results[r.rnd.Intn(len(results))]
	switch a := q.out; {
	case a == nil:
		return e, false
	case q.done && a.skipped:
		res = gateway.NotSent
	case r.now >= a.due:
		res = gateway.TimedOut
	case a.called && r.rnd.Intn(2) == 0:
		res = gateway.Canceled
	case r.rnd.Intn(5) > 0:
		return e, false
	}
	a := q.out
	if q.out = nil; !res.NeverRan() && q.ran == nil {
		q.ran = a
	}
	if res == gateway.Succeeded && !q.done {
		q.done = true
		r.finals[2]++
	}
	return gateway.Event{Kind: gateway.AttemptEnded, RequestID: q.id, Host: a.host, Attempt: q.sent - 1, Result: res, Latency: r.now.Sub(a.startedAt),
		Closed: q.done}, true
}

// play lets some 300 requests in over a few seconds with stalls, leaving clients, hosts that come and go.
func (r *ruleChecker) play(g *logic.Gateway) {
	const hosts = 6
	list := gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListComplete}
	for h := range uint32(hosts) {
		list.Endpoints = append(list.Endpoints, gateway.Endpoint{Host: h, Zone: int(h % 2), Cell: int(h % 3), Weight: 1})
		r.state[h] = gateway.Running
	}
	events := []gateway.Event{list}
	for n := 0; n < 300 || len(r.reqs) > 0; n++ {
		g.Decide(&gateway.Batch{Now: r.now, Events: events}, r)
		for _, q := range r.reqs {
			if q.until <= r.now && !q.done {
				r.foul(q, "no answer at its deadline")
			}
		}
		r.reqs = slices.DeleteFunc(r.reqs, func(q *asked) bool { return q.done && q.out == nil })
		events = []gateway.Event{{Kind: gateway.TimerFired}}
		r.now = r.now.Add(time.Duration(r.rnd.Intn(20)) * ms)
		if r.rnd.Intn(25) == 0 { // a stall: past many a target, and some deadlines
			r.now = r.now.Add(time.Duration(r.rnd.Intn(int(r.front.Timeout/ms))) * ms)
		}
		for _, q := range r.reqs {
			left := gateway.Event{Kind: gateway.ClientGone, RequestID: q.id}
			q.gone = false
			leaves := !q.done && r.rnd.Intn(60) == 0
			if first := r.rnd.Intn(2) == 0; leaves && first { // its going crosses the end of its attempt either way
				q.done, q.gone = true, true
				events = append(events, left)
			}
			if e, ok := r.ends(q); ok {
				events = append(events, e)
			}
			if leaves && !q.done {
				q.done, q.gone = true, true
				events = append(events, left)
			}
		}
		for len(r.calls) > 0 && (r.rnd.Intn(2) == 0 || r.now.Sub(r.calls[0].at) >= r.limits.CounterTimeout) {
			e := gateway.Event{Kind: gateway.CounterReplied, CounterName: r.calls[0].name, Result: gateway.TimedOut}
			if r.rnd.Intn(3) > 0 {
				e.Result, e.CounterTotal = gateway.Succeeded, float64(r.rnd.Intn(8))
			}
			events, r.calls = append(events, e), r.calls[1:]
		}
		if r.rnd.Intn(20) == 0 {
			h := uint32(r.rnd.Intn(hosts))
			r.state[h] = gateway.EndpointState(r.rnd.Intn(3))
			events = append(events, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListChanges, Endpoints: []gateway.Endpoint{{Host: h,
				Zone: int(h % 2), Cell: int(h % 3), Weight: 1, State: r.state[h], StartedAt: r.now * gateway.Time(r.rnd.Intn(2))}}})
		}
		for k := r.rnd.Intn(3); n < 300 && k > 0; k-- {
			q := &asked{id: fmt.Sprint("q", n, ".", k), until: r.now.Add(r.front.Timeout / time.Duration(1+r.rnd.Intn(3)))}
			r.reqs = append(r.reqs, q)
			events = append(events, gateway.Event{Kind: gateway.RequestArrived, RequestID: q.id, Customer: fmt.Sprint("c", r.rnd.Intn(4)),
				Plan: r.rnd.Intn(3), Deadline: q.until, Units: 1, Spread: 1})
		}
	}
}

// TestRulesHoldForAllSettings: operators vary the effect, group, window and times of a profile and parallel_tries on running deployments.
// Every mixture starts, and under every one the rules are kept as the settings tell them, whatever hosts, clients and lists do;
// also by the module alone, which gets the settings by their letter.
func TestRulesHoldForAllSettings(t *testing.T) {
	sum := map[string]*ruleChecker{}
	for i := range 3 * 3 * 3 * 2 * 2 * 2 * 2 {
		n := i
		of := func(k int) int { n, k = n/k, n%k; return k }
		effect, group := []string{"safe", "keyed", "unsafe"}[of(3)], []string{"all", "zone", "cell"}[of(3)]
		window, limit := []int{0, 250_000, 10_000_000}[of(3)], []int{150_000, 2_000_000}[of(2)]
		target, two, letter := limit*[]int{1, 8}[of(2)]/4, of(2) == 1, of(2) == 1
		text := fmt.Sprintf(`{"balancers":1,"limits":{"max_attempts":3,"parallel_tries":%t,"cancelling":true,"retry_after":true},
			"family_info":{"shared_counter":true,"count_wait_us":30000},
			"profiles":[{"name":"a","effect":%q,"group":%q,"window_us":%d,"target_us":%d,"hard_limit_us":%d,"late_worth":0.5,"points":1}],
			"plans":[{"name":"p","rate":50,"burst":50},{"name":"q","parallel":3},{"name":"r"}]}`, two, effect, group, window, target, limit)
		s, err := config.Decode(text)
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		told := gateway.RequestClass{Effect: gateway.Effect(slices.Index([]string{"safe", "keyed", "unsafe"}, effect)),
			Group:       gateway.Group(slices.Index([]string{"all", "zone", "cell"}, group)),
			DedupWindow: time.Duration(window) * time.Microsecond, LatencyObjective: time.Duration(target) * time.Microsecond, Timeout: time.Duration(limit) * time.Microsecond, Value: 1, LateValue: 0.5}
		if letter {
			s.Classes[0], s.Limits.Hedging = told, two
		}
		r := &ruleChecker{T: t, what: text, front: told, limits: s.Limits, now: gateway.Time(100_000 * ms), rnd: rand.New(rand.NewSource(int64(i))),
			state: map[uint32]gateway.EndpointState{}}
		g := logic.New(uint64(i), s.Membership, s.Classes, s.Plans, s.Limits, s.SlowStart, s.LoadReport)
		r.play(g)
		if left := g.Gauges(); left.InFlight != 0 || left.OpenRequests != 0 {
			t.Errorf("%s: %d dispatches and %d reqs are held with none open", text, left.InFlight, left.OpenRequests)
		}
		kind := fmt.Sprintf("%s %s %d", effect, group, window)
		if sum[kind] == nil {
			sum[kind] = &ruleChecker{}
		}
		sum[kind].repeats, sum[kind].again = sum[kind].repeats+r.repeats, sum[kind].again+r.again
		for k, n := range r.finals {
			sum[kind].finals[k] += n
		}
	}
	for kind, s := range sum { // else it shows nothing
		if s.finals[0] == 0 || s.finals[2] == 0 || s.again == 0 || (kind == "safe all 0" || kind == "keyed all 10000000") && s.repeats == 0 {
			t.Errorf("%s: %d denied, %d aborted, %d passed; sent again: %d, %d that may have run", kind, s.finals[0], s.finals[1],
				s.finals[2], s.again, s.repeats)
		}
	}
}
