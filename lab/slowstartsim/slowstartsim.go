// Package slowstartsim plays a fleet of gateways of package logic against hosts that start cold, and counts what all
// gateways together send each of them: the rule on cold hosts holds for the sum, and no gateway sees that. Hosts
// answer after a fixed time and never fall, so that a break is counted rather than acted out. Every dispatch that a
// host gets counts, repeats too. It does no I/O, and the same Config gives the same Report.
package slowstartsim

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ravensill/gateway"
	"ravensill/lab/schedule"
	"ravensill/logic"
)

// Config is one experiment.
type Config struct {
	Seed            uint64
	Gateways, Hosts int
	PerSecond       float64       // reqs a second over all gateways
	Load            float64       // part of the hosts' capacity that they take
	Skew            float64       // one gateway in ten gets so many times the traffic of another; 0 is 1
	Lull            time.Duration // after the start of cold hosts a tenth of the traffic comes for so long: allowances are saved
	Surge           float64       // then so many times the usual traffic
	Cold            int           // hosts that start at one time
	Apart           time.Duration // it is told to each gateway at a time of its own within this
	Cut             time.Duration // from the start on a third of the gateways and hosts, with the cold ones, and the rest don't reach each other
	Failing         float64       // after the lull this part of the other hosts answers with errors; a req may go to two hosts
	Gossip          bool          // gateways message each other; else all of them are cut off from each other
	InTurn          bool          // a host answers what it gets in turn, as fast as it can; else all after the same time
	Length          time.Duration // from the start on
	Settings        gateway.SlowStart
}

// Report holds the fullest window of any host while it is cold, in reqs.
type Report struct {
	Sent, Allowed, Bound float64 // sent in it, over two thirds by gateways told of the start; N, what the settings allow; Budget of that
	At                   time.Duration
	Share                float64 // of all dispatches that went to cold hosts, over their part of the capacity
	Idle                 int     // cold hosts that got nothing at all
}

// fewCalls is the number of calls under which a budget gets more slack for chance.
const fewCalls = 30

// Budget is the most calls that a host may get in one window while it is warming up, where its settings allow it n: n, and the
// slack that the operators' acceptance page gives for chance.
func Budget(n float64) float64 {
	if n < fewCalls {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

func (r Report) String() string {
	return fmt.Sprintf("fullest window %.0f of %.1f allowed (bound %.1f, %.2f of it) %v after the start; "+
		"%.2f of the cold hosts' part; idle %d", r.Sent, r.Allowed, r.Bound, r.Sent/r.Bound, r.At.Round(time.Second), r.Share, r.Idle)
}

const (
	warmUp      = 5 * time.Second // until cold hosts start: the gateways know their hosts by then
	answers     = 100 * time.Millisecond
	beat        = 40 * time.Millisecond
	gone        = 250 * time.Millisecond // a connection to a host that is cut off is given up
	gossipDelay = 5 * time.Millisecond   // a message takes
	perSec      = 60                     // messages a gateway takes in a second
)

type event struct {
	gw      int
	e       gateway.Event // Ended, Tick, Received, HostsListed; none is an arrival
	arrival bool
}

// call is a dispatch to a cold host.
type call struct {
	at   int64
	told bool // by a gateway that had been told of the start
}

// sim is one play. It takes the decisions of the gateway whose turn it is.
type sim struct {
	Config
	rnd   *rand.Rand
	now   int64
	q     schedule.Schedule[event]
	reqs  int
	gws   []*logic.Gateway
	turn  int
	told  []bool   // by gateway
	free  []int64  // by host, has answered all then
	sent  [][]call // by cold host
	all   int
	since int64
	tries map[string]int
}

// Run plays one experiment.
func Run(c Config) Report {
	s := &sim{Config: c, rnd: rand.New(rand.NewPCG(c.Seed, 7)), now: int64(100 * time.Second), sent: make([][]call, c.Cold),
		told: make([]bool, c.Gateways), free: make([]int64, c.Hosts), tries: map[string]int{}}
	if c.Skew == 0 {
		s.Skew = 1
	}
	began := s.now
	s.since = began + int64(warmUp)
	list := func(cold int64) (list []gateway.Endpoint) {
		for h := range c.Hosts {
			l := gateway.Endpoint{Host: uint32(h), State: gateway.Running, Weight: 1}
			if h < c.Cold {
				l.StartedAt = gateway.Time(cold)
			}
			list = append(list, l)
		}
		return list
	}
	fronts := []gateway.RequestClass{{LatencyObjective: time.Second, Timeout: 3 * time.Second, Value: 1}}
	plans := []gateway.Plan{{Rate: 1e9, Burst: 1e9, PriorityWeight: 1}}
	for i := range c.Gateways {
		s.gws = append(s.gws, logic.New(s.rnd.Uint64(), gateway.Membership{Index: i, Count: c.Gateways, Gossip: c.Gossip, MessageRate: perSec},
			fronts, plans, gateway.Limits{MaxAttempts: 2}, c.Settings, gateway.LoadReportForm{}))
		s.round(i, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListComplete, Endpoints: list(0)})
	}
	s.arrival()
	for i := range s.gws {
		at := s.since + int64(s.rnd.Float64()*float64(c.Apart))
		s.q.Add(at, event{gw: i, e: gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListChanges, Endpoints: list(s.since)[:c.Cold]}})
	}
	for end := s.since + int64(c.Length); s.q.Len() > 0; {
		at, e := s.q.Next()
		if at > end {
			break
		}
		if s.now = at; e.arrival {
			s.arrive()
			s.arrival()
		} else {
			s.told[e.gw] = s.told[e.gw] || e.e.Kind == gateway.EndpointsListed
			s.round(e.gw, e.e)
		}
	}
	return s.report()
}

func (s *sim) arrival() {
	rate := s.PerSecond
	if after := s.now - s.since; after >= 0 && after < int64(s.Lull) {
		rate /= 10
	} else if after >= int64(s.Lull) && s.Surge > 0 {
		rate *= s.Surge
	}
	s.q.Add(s.now+int64(s.rnd.ExpFloat64()/rate*1e9), event{arrival: true})
}

func (s *sim) arrive() {
	few := (s.Gateways + 9) / 10
	i := 0
	if much := s.Skew * float64(few); s.rnd.Float64() < much/(much+float64(s.Gateways-few)) {
		i = s.rnd.IntN(few)
	} else {
		i = few + s.rnd.IntN(s.Gateways-few)
	}
	s.reqs++
	s.round(i, gateway.Event{Kind: gateway.RequestArrived, RequestID: fmt.Sprint(s.reqs), Customer: fmt.Sprint(s.rnd.IntN(5000)),
		Deadline: gateway.Time(s.now).Add(3 * time.Second), Units: 1, Spread: s.Gateways})
}

func (s *sim) round(i int, e gateway.Event) {
	s.turn = i
	s.gws[i].Decide(&gateway.Batch{Now: gateway.Time(s.now), Events: []gateway.Event{e}}, s)
}

func (s *sim) StartAttempt(req string, host uint32, timeout time.Duration) {
	e, lag := gateway.Event{Kind: gateway.AttemptEnded, RequestID: req, Host: host, Attempt: s.tries[req]}, answers
	failing := s.Cold + int(s.Failing*float64(s.Hosts-s.Cold))
	switch s.tries[req]++; {
	case s.cut(s.turn%3 == 0, int(host) < s.Hosts/3):
		lag, e.Result = gone, gateway.Unreachable
	case int(host) >= s.Cold && int(host) < failing && s.now-s.since >= int64(s.Lull):
		e.Result = gateway.Errored
	case s.InTurn:
		took := s.capacity(s.Settings.Duration)
		if int(host) < s.Cold && s.now >= s.since {
			took = s.capacity(time.Duration(s.now - s.since))
		}
		s.free[host] = max(s.free[host], s.now) + int64(1e9/took)
		if lag += time.Duration(s.free[host] - s.now); lag > timeout {
			lag, e.Result = timeout, gateway.TimedOut
		}
	}
	if s.now >= s.since && e.Result != gateway.Unreachable {
		s.all++
		if int(host) < s.Cold {
			s.sent[host] = append(s.sent[host], call{s.now, s.told[s.turn]})
		}
	}
	e.Latency, e.Closed = lag, e.Result == gateway.Succeeded
	s.q.Add(s.now+int64(lag), event{gw: s.turn, e: e})
}

// cut tells whether the part is cut off just now that one of two, and not the other, is in.
func (s *sim) cut(one, other bool) bool {
	return one != other && s.now >= s.since && s.now-s.since < int64(s.Cut)
}

func (s *sim) SendGossip(peer int, body []byte) {
	if !s.cut(s.turn%3 == 0, peer%3 == 0) {
		s.q.Add(s.now+int64(gossipDelay), event{gw: peer, e: gateway.Event{Kind: gateway.GossipReceived, Peer: s.turn, Message: bytes.Clone(body)}})
	}
}

func (s *sim) SetTimer(after time.Duration) {
	s.q.Add(s.now+int64(max(after, beat)), event{gw: s.turn, e: gateway.Event{Kind: gateway.TimerFired}})
}

func (s *sim) CancelAttempt(string, int)                   {}
func (s *sim) Reject(string, time.Duration)                {}
func (s *sim) Fail(string)                                 {}
func (s *sim) SendProbe(uint32)                            {}
func (s *sim) WatchEndpoints()                             {}
func (s *sim) LogNote(string)                              {}
func (s *sim) AddToCounter(uint64, float64, time.Duration) {}

// capacity is what a host takes in a second t after its start, in reqs.
func (s *sim) capacity(t time.Duration) float64 {
	warm := min(s.Settings.InitialFraction+(1-s.Settings.InitialFraction)*float64(t)/float64(s.Settings.Duration), 1)
	return warm * s.PerSecond / s.Load / float64(s.Hosts)
}

func (s *sim) report() (r Report) {
	got, part := 0, 0.0
	for _, at := range s.sent {
		got += len(at)
		if len(at) == 0 {
			r.Idle++
		}
		told := 0
		for i, k := 0, 0; i < len(at) && time.Duration(at[i].at-s.since) < s.Settings.Duration; i++ { // the window that ends with the ith
			for told += count(at[i]); time.Duration(at[i].at-at[k].at) > s.Settings.OverloadWindow; k++ {
				told -= count(at[k])
			}
			n := s.Settings.OverloadFactor * s.capacity(time.Duration(at[i].at-s.since)) * seconds(s.Settings.OverloadWindow)
			bound := Budget(n)
			if sent := i - k + 1; 3*told > 2*sent && (r.Bound == 0 || float64(sent)/bound > r.Sent/r.Bound) {
				r.Sent, r.Allowed, r.Bound, r.At = float64(sent), n, bound, time.Duration(at[i].at-s.since)
			}
		}
	}
	for t := time.Duration(0); t < s.Length; t += time.Second {
		part += s.capacity(t) / s.capacity(s.Settings.Duration) / seconds(s.Length) / float64(s.Hosts) * float64(s.Cold)
	}
	r.Share = float64(got) / max(float64(s.all)*part, 1)
	return r
}

func count(c call) int {
	if c.told {
		return 1
	}
	return 0
}

func seconds(d time.Duration) float64 { return float64(d) / 1e9 }
