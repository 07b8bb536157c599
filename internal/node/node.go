// Package node is one gateway on sockets: a loop that hands the module all that came in and carries out what
// it decides. It decides nothing.
package node

import (
	"fmt"
	"log"
	"runtime/debug"
	"slices"
	"time"

	"ravensill/gateway"
	"ravensill/internal/clients"
	"ravensill/internal/config"
	"ravensill/internal/counter"
	"ravensill/internal/discovery"
	"ravensill/internal/hosts"
	"ravensill/internal/peers"
)

const (
	inbox     = 1024                    // pieces of work that wait; who brings more waits too
	keep      = 0.5                     // part of the host machines' idle time that a connection is kept
	retry     = 5 * time.Millisecond    // until bytes that a socket did not take are tried again
	accepting = 450 * time.Millisecond  // new clients still come for so long after the call to stop
	mostLeave = 3 * time.Second         // of the longest client timeout: the platform counts no more
	leave     = 500 * time.Millisecond  // it kills 0.7 s after that: by then all that was taken is answered
	parting   = 1500 * time.Millisecond // after that clients are read to their end for a second; what stays then is cut off
	probeWait = int64(time.Second)
	tallyEach = int64(5 * time.Second) // between lines of the module's decisions
)

// Decider is the module.
type Decider interface {
	Round(in *gateway.Round, out gateway.Writer)
}

// Tallier is a module that counts its decisions; the node logs them every tallyEach, for on-call and for
// counting over a fleet from the logs.
type Tallier interface {
	Tally() string
}

// Node is one gateway. All its fields belong to the loop.
type Node struct {
	cfg     *config.Config
	module  Decider
	work    chan func()
	epoch   time.Time // and its Unix time: now is counted from there and never runs back
	unix    int64
	reqs    map[string]*req
	events  []gateway.Event // since the last round
	news    []gateway.Event // of the list: they go first, so that no dispatch of the round passes by a drain
	round   gateway.Round
	rounds  int   // handed to the module
	wakeAt  int64 // 0: no wake-up is due
	dueAt   int64 // when the first dispatch of open times out at the earliest
	open    []*dispatch
	clients *clients.Server
	fleet   *hosts.Fleet
	book    *discovery.Book
	post    *peers.Post
	counter *counter.Counter // nil: none is configured
	watch   *watch
	witness *watching // nil: off
	pool    *pooling  // nil: off
	lost    bool      // the watch broke, and none has brought anything since
	told    bool      // clients may be taken in: discovery has answered once, or it was waited for long enough
	broken  int       // lists dropped
	strange int       // datagrams dropped since the last line on them
	lineAt  int64     // of that line
	tallyAt int64     // of the last line of decisions
	stopAt  int64     // the next step to the end is due then; 0 none
	leaveAt int64     // what is taken has its answer by then; 0 not called to stop
	serving bool      // clients are taken in
	stopped bool      // no more are: the gateway ends with its last connection
	retired bool      // those that are owed nothing are closed
}

// req is held until it is answered and no dispatch is out.
type req struct {
	node                      *Node
	id                        string
	answer                    *clients.Answer
	front                     int // frontend
	until                     int64
	head, before, after, tail []byte
	sends                     []*dispatch // by their numbers
	out                       int         // dispatches, and 1 from its leaving until the module has heard of that
	closed                    bool
	ranAt                     int64 // when the first that may have run was sent; 0 none has ended so
	round, event              int   // its arrival is this event of that round
}

// dispatch is one that is out. A probe has no req.
type dispatch struct {
	node    *Node
	req     *req
	host    uint32
	n       int
	at, due int64
	send    *hosts.Send
}

// New makes a gateway that is not yet reachable.
func New(cfg *config.Config, module Decider) *Node {
	n := &Node{cfg: cfg, module: module, work: make(chan func(), inbox), epoch: time.Now(),
		reqs: map[string]*req{}, book: discovery.NewBook(cfg.Zones, cfg.Machines)}
	n.book.Even = cfg.Even
	n.unix = n.epoch.UnixNano()
	words := clients.Words{Fronts: clients.NewNames(cfg.FrontNames...), Plans: clients.NewNames(cfg.PlanNames...), Seats: cfg.Seat.Count, Seat: cfg.Seat.Index}
	for _, f := range cfg.Fronts {
		words.Effects = append(words.Effects, f.Effect)
	}
	for _, p := range cfg.Plans {
		most := p.Burst
		if p.Rate == 0 {
			most = 0
		}
		words.Most = append(words.Most, most)
	}
	sockets := descriptors(cfg.Sockets)
	n.clients = clients.NewServer(words, sockets/3, n.do, n.now, n.arrive)
	n.fleet = hosts.NewFleet(n.do, n.now, cfg.ReportNames, cfg.ConnectTimeout, int64(keep*float64(cfg.ConnIdle)),
		sockets*2/5)
	if cfg.Counter.IsValid() {
		n.counter = counter.New(cfg.Counter, cfg.Limits.CounterWait, n.do, n.now, func(e gateway.Event) {
			n.events = append(n.events, e)
		})
	}
	return n
}

func (n *Node) do(f func()) { n.work <- f }

func (n *Node) now() int64 { return n.unix + int64(time.Since(n.epoch)) }

// Run serves until it is called to stop and owes nothing more.
func (n *Node) Run(stop <-chan struct{}) (err error) {
	defer func() {
		if err == errCalled {
			log.Printf("event=stopped")
			err = nil
		}
	}()
	listener, err := n.addresses(stop)
	if n.post != nil {
		defer n.post.Close()
	}
	if listener != nil {
		defer listener.Close()
	}
	if err != nil {
		return err
	}
	if n.counter != nil {
		defer n.counter.Close()
		n.counter.Connect()
	}
	unwatch, err := n.watchOver(stop)
	if err != nil {
		return err
	}
	defer unwatch()
	unpool, err := n.poolUp(stop)
	if err != nil {
		return err
	}
	defer unpool()
	if n.cfg.Known != "" {
		n.listed(n.cfg.Known, true)
		n.cfg.Known = "" // what it told is in the book, and the file's text need not be kept
	} else {
		n.news = append(n.news, gateway.Event{Kind: gateway.Listed, List: gateway.Old})
	}
	n.step() // the first round
	if n.post != nil {
		go n.post.Listen(func(seat int, body []byte) {
			n.do(func() { n.events = append(n.events, gateway.Event{Kind: gateway.Heard, Peer: seat, Body: body}) })
		}, func() { n.do(func() { n.strange++ }) })
	}
	n.start()
	timer := time.NewTimer(0)
	for !n.stopped || !n.clients.Over() {
		if n.told && !n.serving && n.leaveAt == 0 {
			n.serving = true
			n.clients.Listen(listener)
			log.Printf("event=serving name=%s listen=%s peer_listen=%s hosts=%d version=%d", n.cfg.Name, listener.Addr(),
				n.post.Addr(), n.book.Count(), n.book.Version)
		}
		select {
		case f := <-n.work:
			n.guard("loop", f)
		case <-timer.C:
		case <-stop:
			stop = nil
			n.stop()
		}
		n.drain()
		n.catchUp()
		timer.Reset(n.step())
	}
	log.Printf("event=stopped")
	return nil
}

// drain does the work that waits by now.
func (n *Node) drain() {
	for k := len(n.work); k > 0; k-- {
		n.guard("loop", <-n.work)
	}
}

// stop begins the end. Clients go on sending on what they have open, and a close that crosses a command leaves
// that unanswered. So what is open is served until shortly before the platform kills, which counts from the
// longest client timeout, and ends then: a kill that crosses a command would lose it. One that serves nobody yet ends at once.
func (n *Node) stop() {
	longest := int64(0)
	for _, f := range n.cfg.Fronts {
		longest = max(longest, f.Timeout)
	}
	n.stopAt = n.now() + int64(accepting)
	n.leaveAt = n.now() + min(longest, int64(mostLeave)) + int64(leave)
	if !n.serving {
		n.stopAt = n.now()
	}
	log.Printf("event=stopping clients=%d open=%d", n.clients.Count(), len(n.reqs))
}

// stopping takes the next step to the end: first no new clients, then none that is owed nothing, at last none at all. One
// that neither reads nor closes must not hold the program.
func (n *Node) stopping() {
	switch {
	case !n.stopped:
		n.stopped, n.stopAt = true, n.leaveAt
		n.clients.Unlisten()
		log.Printf("event=closed_to_new clients=%d open=%d", n.clients.Count(), len(n.reqs))
	case !n.retired:
		n.retired, n.stopAt = true, n.now()+int64(parting)
		n.clients.Retire()
	default:
		n.stopAt = 0
		log.Printf("event=cut_off clients=%d open=%d", n.clients.Count(), len(n.reqs))
		n.clients.End()
	}
}

// step is a turn; a panic in it costs what was at hand, not the program.
func (n *Node) step() (wait time.Duration) {
	wait = retry
	n.guard("loop", func() { wait = n.turn() })
	return wait
}

// turn does what is due, lets the module decide on what came in, and carries it out. It tells how long
// nothing more is due.
func (n *Node) turn() time.Duration {
	now := n.now()
	if n.stopAt > 0 && now >= n.stopAt {
		n.stopping()
	}
	n.expire(now)
	countAt := int64(0)
	if n.wakeAt > 0 && now >= n.wakeAt {
		n.wakeAt = 0
		n.fleet.Tidy()
		n.clients.Tidy()
		if n.strange > 0 && now-n.lineAt > int64(time.Second) {
			log.Printf("event=datagrams_dropped count=%d", n.strange)
			n.strange, n.lineAt = 0, now
		}
		n.events = append(n.events, gateway.Event{Kind: gateway.Woke})
		if t, ok := n.module.(Tallier); ok && now-n.tallyAt >= tallyEach {
			n.tallyAt = now
			log.Printf("event=decisions %s", t.Tally())
		}
	}
	left := false
	for more := true; more; more = len(n.events)+len(n.news) > 0 { // a write that fails is an event, too
		if len(n.events)+len(n.news) > 0 {
			n.round.Now = n.now()
			n.round.Events = append(append(n.round.Events[:0], n.news...), n.events...)
			clear(n.news) // a whole list must not stay in memory until the next comes
			n.news, n.events = n.news[:0], n.events[:0]
			n.rounds++
			n.decide()
			n.forget()
			clear(n.round.Events)
		}
		// Also when the module has nothing to decide: an answer to PING must not wait for its next wake-up.
		left = n.clients.Flush()
		left = n.fleet.Flush() || left
		if n.counter != nil {
			left = n.counter.Flush() || left
			countAt = n.counter.Expire(n.now())
		}
	}
	wait := time.Hour
	for _, at := range []int64{n.wakeAt, n.dueAt, n.stopAt, countAt, n.pool.turn()} {
		if at > 0 {
			wait = min(wait, time.Duration(at-n.now()))
		}
	}
	if left {
		wait = min(wait, retry)
	}
	return max(wait, 0)
}

// decide calls the module. Should it panic, what it left without a decision is aborted: a fault must not hold
// a req until its client gives up, nor take the others along.
func (n *Node) decide() {
	n.guard("module", func() {
		defer func() {
			if p := recover(); p != nil {
				n.Wake(int64(retry))
				for _, e := range n.round.Events {
					if r := n.reqs[e.Req]; r != nil && r.out == 0 {
						n.Abort(e.Req)
					}
				}
				panic(p)
			}
		}()
		n.module.Round(&n.round, n.writer())
	})
}

// guard keeps a panic from ending the program.
func (n *Node) guard(where string, f func()) {
	defer func() {
		if p := recover(); p != nil {
			log.Printf("event=panic where=%s error=%q stack=%q", where, fmt.Sprint(p), debug.Stack())
		}
	}()
	f()
}

// expire ends the dispatches whose time is up.
func (n *Node) expire(now int64) {
	if n.dueAt == 0 || now < n.dueAt {
		return
	}
	var due []*dispatch
	n.dueAt = 0
	for _, d := range n.open {
		if d.due <= now {
			due = append(due, d)
		} else if n.dueAt == 0 || d.due < n.dueAt {
			n.dueAt = d.due
		}
	}
	for _, d := range due { // each ends at once, also one whose send a panic has swallowed
		n.guard("loop", func() { d.send.Stop(hosts.ErrTimedOut) })
		if slices.Contains(n.open, d) {
			n.guard("loop", func() { d.ended(gateway.Event{Result: gateway.TimedOut}, nil, now) })
		}
	}
}

// arrive takes in a req.
func (n *Node) arrive(a *clients.Answer, came int64, id, customer string, front, plan int, until int64,
	units float64, spread, first int, again bool, head, before, after, tail []byte) {
	if n.reqs[id] != nil {
		a.Aborted("id: in use")
		return
	}
	if n.leaveAt > 0 {
		until = min(until, n.leaveAt)
	}
	r := &req{node: n, id: id, answer: a, front: front, until: until, head: head, before: before,
		after: after, tail: tail, round: n.rounds, event: len(n.events)}
	n.reqs[id] = r
	a.Left = r.left
	n.events = append(n.events, gateway.Event{Kind: gateway.Arrived, Req: id, Customer: customer, Frontend: front,
		Plan: plan, Until: until, Units: units, Spread: spread, First: first, Again: again})
}

// left takes in that the client is gone. Where the module has not heard of the req yet it never does: behind a stall or
// a flood the arrival and this wait together, and the req would be sent on for nobody. Else the req is held until the
// round in which the module hears of this: what it decides before that meets a closed req.
func (r *req) left() {
	n := r.node
	if n.reqs[r.id] != r { // the module has heard of its end: the id may be another's by now
		return
	}
	r.answer, r.closed = nil, true
	r.out++
	if e := (gateway.Event{Kind: gateway.Left, Req: r.id}); r.round == n.rounds {
		n.events[r.event] = e
	} else {
		n.events = append(n.events, e)
	}
	for _, d := range r.sends {
		d.withdraw()
	}
}

// withdraw gives up a dispatch that has not begun: it waits for a connection, or its last byte is not yet written. Its
// connection may come up long after, and then carry a req whose client is gone.
func (d *dispatch) withdraw() {
	if !d.send.Sent() {
		d.send.Stop(hosts.ErrCanceled)
	}
}

// forget lets go of the reqs whose leaving the module has now heard of.
func (n *Node) forget() {
	for _, e := range n.round.Events {
		if e.Kind != gateway.Left {
			continue
		}
		if r := n.reqs[e.Req]; r != nil {
			r.out--
			r.close()
		}
	}
}

func (r *req) close() {
	r.closed = true
	if r.out == 0 {
		delete(r.node.reqs, r.id)
	}
}

// Dispatch sends a req to a host.
func (n *Node) Dispatch(id string, host uint32, timeout int64) {
	r := n.reqs[id]
	if r == nil {
		return
	}
	wait := r.until - n.round.Now
	if timeout > 0 {
		wait = min(wait, timeout)
	}
	d := n.sent(r, host, wait)
	r.sends = append(r.sends, d)
	r.out++
	// Its client left in this round, or has left by what its reader saw, though that still waits for the loop: nothing is sent,
	// and the module must hear of the end or it counts it as out for ever.
	if r.closed || r.answer.Gone() {
		r.closed = true
		d.ended(gateway.Event{Result: gateway.Skipped}, nil, n.now())
		return
	}
	n.pool.next(r)
	by := d.due
	if f := n.cfg.Fronts[r.front]; r.ranAt > 0 && f.Effect == gateway.Uniqued { // hosts drop a repeat for so long: a connection may come up later
		by = min(by, r.ranAt+f.Window)
	}
	d.send = n.fleet.Dispatch(host, r.head, r.before, r.after, r.tail, wait, by, d.ended)
	if r.closed { // it left meanwhile: the end of another may have ended its connection
		d.withdraw()
	}
}

func (n *Node) Probe(host uint32) {
	d := n.sent(nil, host, probeWait)
	d.send = n.fleet.Probe(host, d.ended)
}

// sent notes a dispatch that is to end within a time.
func (n *Node) sent(r *req, host uint32, wait int64) *dispatch {
	d := &dispatch{node: n, req: r, host: host, at: n.round.Now, due: n.round.Now + wait, send: hosts.Never}
	if r != nil {
		d.n = len(r.sends)
	}
	n.open = append(n.open, d)
	if n.dueAt == 0 || d.due < n.dueAt {
		n.dueAt = d.due
	}
	return d
}

// ended takes in how a dispatch ended. The first good answer goes to the client at once.
func (d *dispatch) ended(e gateway.Event, value []byte, came int64) {
	r, n := d.req, d.node
	n.open = slices.DeleteFunc(n.open, func(o *dispatch) bool { return o == d })
	e.Kind, e.Host, e.Dispatch, e.Lag = gateway.Ended, d.host, d.n, came-d.at
	if r == nil {
		e.Kind = gateway.Probed
		n.events = append(n.events, e)
		return
	}
	r.out--
	if r.ranAt == 0 && !e.Result.NeverRan() {
		r.ranAt = d.at
	}
	defer func() { // also behind a panic: else the module holds the dispatch as out for ever
		if r.closed {
			r.close()
		}
		e.Req, e.Closed = r.id, r.closed
		n.events = append(n.events, e)
	}()
	n.pool.ended(r)
	if e.Result == gateway.Passed && !r.closed {
		r.closed = true
		r.answer.Passed(value)
	}
	n.witness.ended(d, e.Result, e.Lag)
}

func (n *Node) Cancel(id string, dispatch int) {
	if r := n.reqs[id]; r != nil && uint(dispatch) < uint(len(r.sends)) {
		r.sends[dispatch].send.Stop(hosts.ErrCanceled)
	}
}

func (n *Node) Deny(id string, after int64) {
	if r := n.reqs[id]; r != nil && !r.closed {
		r.answer.Denied(after)
		r.close()
	}
}

func (n *Node) Abort(id string) {
	if r := n.reqs[id]; r != nil && !r.closed {
		r.answer.Aborted("aborted")
		r.close()
	}
}

func (n *Node) Tell(peer int, body []byte) {
	if n.post != nil {
		n.post.Tell(peer, body)
	}
}

// Count calls the shared counter. Without one the call is answered as unreached: the module does without.
func (n *Node) Count(name uint64, amount float64, life int64) {
	if n.counter == nil {
		n.events = append(n.events, gateway.Event{Kind: gateway.Counted, Name: name, Result: gateway.Unreached})
		return
	}
	n.counter.Count(name, amount, life)
}

func (n *Node) Wake(after int64) { n.wakeAt = n.round.Now + after }

func (n *Node) Note(text string) { log.Printf("event=note text=%q", text) }
