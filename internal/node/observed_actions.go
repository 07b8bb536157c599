package node

import (
	"math/rand/v2"
	"time"

	"ravensill/counterfactual"
	"ravensill/gateway"
	"ravensill/internal/observer"
)

// observedActions stands between the module and the node where the section counterfactual is on: it is the
// Actions that is also a CandidateObserver, and hands the task a record of each attempt that ended. Its fields
// belong to the loop.
type observedActions struct {
	*Node
	task     *observer.Observer
	places   map[uint32]place
	pending  map[*attempt]*observer.Entry
	upcoming *observer.Entry   // of the attempt that comes next
	finished []*observer.Entry // of attempts that ended since the last timer
	recycled []*observer.Entry // to be used again
	random   *rand.Rand
}

const maxPlaces = 4096 // hosts known, gone ones among them

type place struct {
	id   string
	zone int
	born uint32
}

// startObserver starts the task, where it is configured; the returned function ends it.
func (n *Node) startObserver(stop <-chan struct{}) (end func(), err error) {
	if n.cfg.Counterfactual == nil {
		return func() {}, nil
	}
	var targets []int64
	for _, f := range n.cfg.Classes {
		targets = append(targets, int64(f.LatencyObjective))
	}
	var task *observer.Observer
	err = listenWithRetry("counterfactual", n.cfg.Counterfactual.Listen, stop, func() (err error) {
		task, err = observer.Open(n.system, n.cfg.Counterfactual, n.cfg.Membership.Index, n.cfg.Membership.Zone, n.cfg.Membership.Count, n.cfg.ClassNames, targets)
		return err
	})
	if err != nil {
		return nil, err
	}
	n.observer = &observedActions{Node: n, task: task, places: map[uint32]place{}, pending: map[*attempt]*observer.Entry{},
		random: rand.New(rand.NewPCG(n.cfg.Seed, 0x7769746e657373))}
	return task.Close, nil
}

// actions returns what the module writes a batch to: for a fraction of the batches, drawn at random, the
// observer. The others cost no more than without.
func (n *Node) actions() gateway.Actions {
	if w := n.observer; w != nil && w.random.Float64() < n.cfg.Counterfactual.RecordedFraction {
		return w
	}
	return n
}

// ObserveCandidates notes what the attempt that comes next was chosen among.
func (w *observedActions) ObserveCandidates(requestID string, customer uint32, options []gateway.Candidate) {
	var e *observer.Entry
	if n := len(w.recycled); n > 0 {
		e, w.recycled = w.recycled[n-1], w.recycled[:n-1]
	} else {
		e = &observer.Entry{}
	}
	*e = observer.Entry{Request: requestID, Record: counterfactual.Record{Customer: customer, Candidates: e.Candidates[:0]}}
	for _, o := range options {
		p := w.places[o.Host]
		e.Candidates = append(e.Candidates, counterfactual.Candidate{Host: o.Host, Incarnation: p.born, Zone: p.zone, Probability: o.Chance,
			Load: o.Load})
	}
	w.upcoming = e
}

// StartAttempt sends the request on; its record waits for the end.
func (w *observedActions) StartAttempt(id string, host uint32, timeout time.Duration) {
	e := w.upcoming
	w.upcoming = nil
	w.Node.StartAttempt(id, host, timeout)
	r := w.requests[id]
	if e == nil || e.Request != id || r == nil || len(w.Node.inFlight) == 0 {
		return
	}
	d := w.Node.inFlight[len(w.Node.inFlight)-1]
	if d.request != r { // it has ended already, unsent
		return
	}
	e.Class, e.Attempt, e.SentAt = r.command.Class, d.number, int64(d.startedAt)
	w.pending[d] = e
}

// attemptEnded hands over the record of an attempt. One that was never sent says nothing of its host.
func (w *observedActions) attemptEnded(d *attempt, result gateway.Result, lag time.Duration) {
	if w == nil {
		return
	}
	e := w.pending[d]
	if e == nil {
		return
	}
	delete(w.pending, d)
	switch e.Latency = int64(lag); result {
	case gateway.NotSent:
		return
	case gateway.Succeeded:
	case gateway.TimedOut, gateway.Canceled:
		e.End = counterfactual.Censored
	default:
		e.End = counterfactual.Failed
	}
	if w.finished = append(w.finished, e); len(w.finished) == observer.Batch {
		w.offer()
	}
}

// offer hands over what is ready: a batch at a timer, so that the task is not woken for each attempt.
func (w *observedActions) offer() {
	if len(w.finished) == 0 {
		return
	}
	free := w.task.Offer(w.finished)
	w.finished = free[:0]
	if len(w.recycled) < 4*observer.Batch {
		w.recycled = append(w.recycled, free...)
	}
}

// SetTimer sets the module's next timer; the one at hand has fired.
func (w *observedActions) SetTimer(after time.Duration) {
	w.offer()
	w.Node.SetTimer(after)
}

// endpointsListed notes where hosts stand and when their processes began.
func (w *observedActions) endpointsListed(list []gateway.Endpoint) {
	if w == nil {
		return
	}
	for _, l := range list {
		if l.State != gateway.Gone {
			w.places[l.Host] = place{w.endpointList.ID(l.Host), l.Zone, uint32(l.StartedAt / 1e6)}
		}
	}
	for number := range w.places { // one that is gone keeps its id for answers about windows past
		if len(w.places) > maxPlaces && w.endpointList.ID(number) == "" {
			delete(w.places, number)
		}
	}
	ids := make(map[uint32]string, len(w.places))
	for number, p := range w.places {
		ids[number] = p.id
	}
	w.task.SetHostIDs(ids)
}
