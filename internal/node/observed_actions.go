package node

import (
	"math/rand/v2"
	"time"

	"ravensill/counterfactual"
	"ravensill/gateway"
	"ravensill/internal/observer"
)

const (
	maxObservedHosts = 4096                         // above this number, hosts that are gone are forgotten
	maxFreeEntries   = 4 * observer.MaxBatchEntries // entries kept for reuse; the rest is garbage-collected

	// observerRandomStream is the second half of the seed by which batches are chosen for observation.
	observerRandomStream = 0x7769746e657373
)

// observedActions are the actions of a batch that is observed for package counterfactual. They record the hosts that
// each attempt was chosen from and how it ended, and pass these records to the observer. Only the loop uses them. They
// are nil if the observer is not configured; attemptEnded and updateHosts do nothing then.
type observedActions struct {
	*Node
	recorder    *observer.Observer
	hosts       map[uint32]observedHost      // by host number
	pending     map[*attempt]*observer.Entry // records of the attempts in flight
	nextEntry   *observer.Entry              // record of the next attempt that the module starts; nil: not observed
	completed   []*observer.Entry            // records of ended attempts that are not passed to the observer yet
	freeEntries []*observer.Entry            // entries that newEntry may reuse
	random      *rand.Rand
}

// observedHost describes a host in records.
type observedHost struct {
	id          string
	zone        int
	incarnation uint32
}

// startObserver starts the observer if it is configured. The returned function stops it. If stop is closed while the
// observer's address is in use, it returns errStopRequested.
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
	var recorder *observer.Observer
	err = listenWithRetry("counterfactual", cfg.Listen, stop, func() (err error) {
		recorder, err = observer.Open(options)
		return err
	})
	if err != nil {
		return nil, err
	}
	n.observer = &observedActions{
		Node:     n,
		recorder: recorder,
		hosts:    map[uint32]observedHost{},
		pending:  map[*attempt]*observer.Entry{},
		random:   rand.New(rand.NewPCG(n.cfg.Seed, observerRandomStream)),
	}
	return recorder.Close, nil
}

// batchActions returns the actions for the next batch. A random fraction of the batches gets observed actions; the
// others cost no more than without an observer.
func (n *Node) batchActions() gateway.Actions {
	o := n.observer
	if o != nil && o.random.Float64() < n.cfg.Counterfactual.RecordedFraction {
		return o
	}
	return n
}

// ObserveCandidates implements gateway.CandidateObserver. It begins the record of the attempt that the module starts
// next. An entry from newEntry may be a used one, whose slice of candidates is reused.
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
	o.nextEntry = entry
}

// newEntry returns a free entry, which may hold old values, or a new one if none is free.
func (o *observedActions) newEntry() *observer.Entry {
	last := len(o.freeEntries) - 1
	if last < 0 {
		return &observer.Entry{}
	}
	entry := o.freeEntries[last]
	o.freeEntries = o.freeEntries[:last]
	return entry
}

// StartAttempt implements gateway.Actions. The record of the attempt is pending until the attempt ends.
func (o *observedActions) StartAttempt(id string, host uint32, timeout time.Duration) {
	entry := o.nextEntry
	o.nextEntry = nil
	o.Node.StartAttempt(id, host, timeout)
	r := o.requests[id]
	if entry == nil || entry.Request != id || r == nil || len(o.inFlight) == 0 {
		return
	}
	started := o.inFlight[len(o.inFlight)-1]
	if started.request != r { // the attempt has ended already, without being sent
		return
	}
	entry.Class = r.command.Class
	entry.Attempt = started.number
	entry.SentAt = started.startedAt
	o.pending[started] = entry
}

// attemptEnded completes the record of an attempt, if it has one. The record of an attempt that was never sent is
// dropped, since it says nothing about its host.
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
	case gateway.NotSent, gateway.Throttled:
		return
	case gateway.Succeeded:
	case gateway.TimedOut, gateway.Canceled:
		entry.End = counterfactual.Censored
	default:
		entry.End = counterfactual.Failed
	}
	o.completed = append(o.completed, entry)
	if len(o.completed) == observer.MaxBatchEntries {
		o.passCompleted()
	}
}

// passCompleted passes the completed records to the observer. It is called for a full batch and at the module's timers,
// so that the observer's goroutine is not woken for each attempt.
func (o *observedActions) passCompleted() {
	if len(o.completed) == 0 {
		return
	}
	free := o.recorder.Offer(o.completed)
	o.completed = free[:0]
	if len(o.freeEntries) < maxFreeEntries {
		o.freeEntries = append(o.freeEntries, free...)
	}
}

// SetTimer implements gateway.Actions. The module calls it whenever its timer has fired, so that completed records
// don't wait for a full batch.
func (o *observedActions) SetTimer(after time.Duration) {
	o.passCompleted()
	o.Node.SetTimer(after)
}

// updateHosts records the ids, zones and start times of listed hosts. A host keeps them after it is gone.
func (o *observedActions) updateHosts(endpoints []gateway.Endpoint) {
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
	o.recorder.SetHostIDs(ids)
}

// forgetGoneHosts drops hosts that are gone while there are more than maxObservedHosts hosts. The others keep their
// ids, since queries on past windows may name them.
func (o *observedActions) forgetGoneHosts() {
	for number := range o.hosts {
		if len(o.hosts) > maxObservedHosts && o.endpointList.ID(number) == "" {
			delete(o.hosts, number)
		}
	}
}
