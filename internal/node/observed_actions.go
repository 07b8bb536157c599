package node

import (
	"math/rand/v2"
	"time"

	"ravensill/counterfactual"
	"ravensill/gateway"
	"ravensill/internal/observer"
)

const (
	maxObservedHosts = 4096 // hosts whose ids and places are kept, gone ones among them
	maxRecycled      = 4 * observer.MaxBatchEntries

	// observerStream selects the random stream by which batches are observed.
	observerStream = 0x7769746e657373
)

// observedActions are the actions of a batch that is observed for package counterfactual. They record what each attempt
// was chosen among and how it ended, and pass the records to the observer. All fields belong to the loop.
type observedActions struct {
	*Node
	task     *observer.Observer
	hosts    map[uint32]observedHost
	pending  map[*attempt]*observer.Entry
	upcoming *observer.Entry   // of the attempt that the module starts next
	finished []*observer.Entry // of attempts that ended since the latest timer
	recycled []*observer.Entry // to be used again
	random   *rand.Rand
}

// observedHost is what records say of a host.
type observedHost struct {
	id          string
	zone        int
	incarnation uint32
}

// startObserver starts the observer if it is configured. The returned function ends it.
func (n *Node) startObserver(stop <-chan struct{}) (end func(), err error) {
	cfg := n.cfg.Counterfactual
	if cfg == nil {
		return func() {}, nil
	}
	options := observer.Options{
		System:     n.system,
		Config:     cfg,
		Membership: n.cfg.Membership,
		Classes:    n.cfg.ClassNames,
	}
	for i := range n.cfg.Classes {
		options.Objectives = append(options.Objectives, n.cfg.Classes[i].LatencyObjective)
	}
	var task *observer.Observer
	err = listenWithRetry("counterfactual", cfg.Listen, stop, func() (err error) {
		task, err = observer.Open(options)
		return err
	})
	if err != nil {
		return nil, err
	}
	n.observer = &observedActions{
		Node:    n,
		task:    task,
		hosts:   map[uint32]observedHost{},
		pending: map[*attempt]*observer.Entry{},
		random:  rand.New(rand.NewPCG(n.cfg.Seed, observerStream)),
	}
	return task.Close, nil
}

// actions returns the actions for the next batch: observed ones for a random fraction of the batches, so that
// the others cost no more than without an observer.
func (n *Node) actions() gateway.Actions {
	o := n.observer
	if o != nil && o.random.Float64() < n.cfg.Counterfactual.RecordedFraction {
		return o
	}
	return n
}

// ObserveCandidates implements gateway.CandidateObserver.
func (o *observedActions) ObserveCandidates(requestID string, customer uint32, candidates []gateway.Candidate) {
	entry := o.newEntry()
	*entry = observer.Entry{
		Request: requestID,
		Record:  counterfactual.Record{Customer: customer, Candidates: entry.Candidates[:0]},
	}
	for _, candidate := range candidates {
		host := o.hosts[candidate.Host]
		entry.Candidates = append(entry.Candidates, counterfactual.Candidate{
			Host:        candidate.Host,
			Incarnation: host.incarnation,
			Zone:        host.zone,
			Probability: candidate.Chance,
			Load:        candidate.Load,
		})
	}
	o.upcoming = entry
}

// newEntry returns a recycled entry, or a new one if there is none.
func (o *observedActions) newEntry() *observer.Entry {
	last := len(o.recycled) - 1
	if last < 0 {
		return &observer.Entry{}
	}
	entry := o.recycled[last]
	o.recycled = o.recycled[:last]
	return entry
}

// StartAttempt implements gateway.Actions. The record of the attempt waits for its end.
func (o *observedActions) StartAttempt(id string, host uint32, timeout time.Duration) {
	entry := o.upcoming
	o.upcoming = nil
	o.Node.StartAttempt(id, host, timeout)
	r := o.requests[id]
	if entry == nil || entry.Request != id || r == nil || len(o.inFlight) == 0 {
		return
	}
	started := o.inFlight[len(o.inFlight)-1]
	if started.request != r { // the attempt has ended, unsent
		return
	}
	entry.Class = r.command.Class
	entry.Attempt = started.number
	entry.SentAt = started.startedAt
	o.pending[started] = entry
}

// attemptEnded completes the record of an attempt. An attempt that was never sent proves nothing of its host, and has
// none.
func (o *observedActions) attemptEnded(ended *attempt, result gateway.Result, latency time.Duration) {
	if o == nil {
		return
	}
	entry := o.pending[ended]
	if entry == nil {
		return
	}
	delete(o.pending, ended)
	entry.Latency = latency
	switch result {
	case gateway.NotSent:
		return
	case gateway.Succeeded:
	case gateway.TimedOut, gateway.Canceled:
		entry.End = counterfactual.Censored
	default:
		entry.End = counterfactual.Failed
	}
	o.finished = append(o.finished, entry)
	if len(o.finished) == observer.MaxBatchEntries {
		o.offer()
	}
}

// offer passes the finished records to the observer. It is called for a full batch and by timers, so that the
// observer is not woken for each attempt.
func (o *observedActions) offer() {
	if len(o.finished) == 0 {
		return
	}
	free := o.task.Offer(o.finished)
	o.finished = free[:0]
	if len(o.recycled) < maxRecycled {
		o.recycled = append(o.recycled, free...)
	}
}

// SetTimer implements gateway.Actions. The module calls it when its timer has fired.
func (o *observedActions) SetTimer(after time.Duration) {
	o.offer()
	o.Node.SetTimer(after)
}

// endpointsListed records the places of hosts and the starts of their processes.
func (o *observedActions) endpointsListed(endpoints []gateway.Endpoint) {
	if o == nil {
		return
	}
	for i := range endpoints {
		endpoint := &endpoints[i]
		if endpoint.State == gateway.Gone {
			continue
		}
		o.hosts[endpoint.Host] = observedHost{
			id:          o.endpointList.ID(endpoint.Host),
			zone:        endpoint.Zone,
			incarnation: uint32(endpoint.StartedAt / gateway.Time(time.Millisecond)),
		}
	}
	o.forgetGoneHosts()
	ids := make(map[uint32]string, len(o.hosts))
	for number, host := range o.hosts {
		ids[number] = host.id
	}
	o.task.SetHostIDs(ids)
}

// forgetGoneHosts drops hosts that are gone while there are too many. Others keep their ids for queries on past
// windows.
func (o *observedActions) forgetGoneHosts() {
	for number := range o.hosts {
		if len(o.hosts) > maxObservedHosts && o.endpointList.ID(number) == "" {
			delete(o.hosts, number)
		}
	}
}
