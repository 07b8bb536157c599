package poolrunner

import (
	"encoding/json"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"ravensill/internal/config"
	"ravensill/internal/consensus"
	"ravensill/internal/sockets"
	"ravensill/pool"
)

const (
	statusInterval  = 5 * time.Second       // time between status lines in the log
	proposeTimeout  = 5 * time.Second       // longest wait for a place in the queue of proposals
	minTickInterval = 10 * time.Millisecond // least time between ticks
	ticksPerReport  = 3                     // ticks in a report interval
	eventQueueSize  = 4096                  // functions that can wait for the goroutine of run before enqueue blocks

	// restartDelayDivisor divides the election timeout. A voter that drops its grantor while it leads waits for that part
	// of the timeout before it creates a new one.
	restartDelayDivisor = 4
)

// Voter is one of the raft voters, which replicate the ledger by package consensus. While it leads, it runs the
// grantor, and otherwise it tells lease holders which voter leads. One goroutine, that of run, handles all events and
// sends all datagrams; the other goroutines pass it functions.
type Voter struct {
	cfg          *config.Pool
	index        int // index of this voter in cfg.Voters and cfg.VoterStreams
	replica      *consensus.Replica
	conn         *messageConn
	eventQueue   chan func()    // functions for the goroutine of run
	done         chan struct{}  // closed by Close
	runGoroutine sync.WaitGroup // the goroutine of run
	producers    sync.WaitGroup // the goroutines that add to eventQueue
	startTime    time.Time      // origin of the clock that now reads

	// Only the goroutine of run uses the fields below.
	grantor           *pool.Grantor    // nil unless the voter leads and has read the ledger
	generation        int              // incremented when leadership changes or the grantor is dropped
	leading           bool             // the latest state that the replica reported
	memberAddrs       []netip.AddrPort // UDP addresses of the lease holders, by member index; invalid: unknown
	lastStatus        pool.Instant     // time of the latest status line
	datagramsReceived int              // including invalid ones
	datagramsSent     int
	datagramsDropped  int // datagrams received that are invalid
	batchesProposed   int
}

// StartVoter opens the sockets and the replicated log of the voter with the given index in cfg.Voters, and starts its
// goroutines. It fails if a socket or the log can't be opened.
func StartVoter(system sockets.System, cfg *config.Pool, index int) (*Voter, error) {
	v := &Voter{
		cfg:         cfg,
		index:       index,
		eventQueue:  make(chan func(), eventQueueSize),
		done:        make(chan struct{}),
		startTime:   time.Now(),
		memberAddrs: make([]netip.AddrPort, cfg.Terms.Members),
	}
	var err error
	v.conn, err = openMessageConn(system, cfg.Listen, cfg.Key)
	if err != nil {
		return nil, err
	}
	v.replica, err = consensus.Open(consensus.Config{
		ClusterName:     "pool",
		Sockets:         system,
		Index:           index,
		Addresses:       cfg.VoterStreams,
		Listen:          cfg.Listen,
		Dir:             cfg.Dir,
		Key:             cfg.Key,
		ElectionTimeout: cfg.ElectionTimeout,
	}, &ledgerFSM{ledger: pool.NewLedger(&cfg.Terms)})
	if err != nil {
		v.conn.close()
		return nil, err
	}
	v.producers.Go(v.read)
	v.runGoroutine.Go(v.run)
	return v, nil
}

// Close closes the replica and the socket, and waits until the voter's goroutines have ended.
func (v *Voter) Close() {
	close(v.done)
	v.runGoroutine.Wait()
	v.replica.Close() // ends the wait for the outcome of proposals
	v.conn.close()
	v.producers.Wait()
}

// now returns the time since the voter was started, plus 1 ns, because 0 means no time in package pool.
func (v *Voter) now() pool.Instant { return pool.Instant(time.Since(v.startTime)) + 1 }

// enqueue passes f to the goroutine of run. It blocks while the queue is full, and drops f after Close.
func (v *Voter) enqueue(f func()) {
	select {
	case v.eventQueue <- f:
	case <-v.done:
	}
}

// read passes received datagrams to the goroutine of run until the socket is closed.
func (v *Voter) read() {
	v.conn.read(func(message *Message, err error, from netip.AddrPort) {
		v.enqueue(func() {
			v.datagramsReceived++
			if err != nil {
				v.datagramsDropped++
				return
			}
			v.receive(message, from)
		})
	})
}

// run handles all events of the voter until Close.
func (v *Voter) run() {
	tick := time.NewTicker(max(v.cfg.Terms.ReportInterval/ticksPerReport, minTickInterval))
	defer tick.Stop()
	for {
		select {
		case f := <-v.eventQueue:
			f()
		case leading := <-v.replica.Leadership():
			v.leading = leading
			v.grantor = nil
			v.generation++
			slog.Info("pool_leader_changed", "leader", leading)
			if leading {
				v.startLeading()
			}
		case <-tick.C:
			v.tick(v.now())
		case <-v.done:
			return
		}
	}
}

// tick proposes the next batch of the grantor if there is one, and logs the status if it is due.
func (v *Voter) tick(now pool.Instant) {
	if v.grantor != nil {
		batch, warnings := v.grantor.Tick(now)
		logWarnings(warnings)
		if batch != nil {
			v.propose(batch, v.sendGrants)
		}
	}
	v.logStatus(now)
}

// sendGrants sends the grants that the grantor issues after a batch was committed. ledger is the ledger after the
// batch.
func (v *Voter) sendGrants(ledger *pool.Ledger) {
	for _, grant := range v.grantor.Committed(ledger) {
		v.send(v.memberAddrs[grant.Member], &Message{Grant: grant})
	}
}

func logWarnings(warnings []pool.Warning) {
	for _, warning := range warnings {
		slog.Warn(warning.Event,
			"member", warning.Member,
			"incarnation", warning.Incarnation,
			"units", warning.Units,
		)
	}
}

// startLeading creates a grantor once an empty batch is committed. The ledger after that batch includes all batches
// that were committed under earlier leaders.
func (v *Voter) startLeading() {
	v.propose(&pool.Batch{}, func(ledger *pool.Ledger) {
		v.grantor = pool.NewGrantor(&v.cfg.Terms, v.now(), ledger)
	})
}

// propose proposes a batch. When the batch is committed, it calls onCommit on the goroutine of run, with the ledger
// after the batch. If the proposal fails or its outcome is unknown, it replaces the grantor, since the ledger may then
// differ from the one that the grantor assumes. Outcomes of an earlier generation are ignored.
func (v *Voter) propose(batch *pool.Batch, onCommit func(*pool.Ledger)) {
	data, err := json.Marshal(batch)
	if err != nil {
		slog.Error("pool_batch_encode_failed", "error", err)
		return
	}
	generation := v.generation
	v.batchesProposed++
	proposal := v.replica.Propose(data, proposeTimeout)
	v.producers.Go(func() {
		ledger, err := proposal.Wait()
		v.enqueue(func() {
			switch {
			case v.generation != generation:
			case err == nil:
				onCommit(ledger.(*pool.Ledger))
			default:
				slog.Warn("pool_lease_uncertain", "error", err)
				v.restartLeading()
			}
		})
	})
}

// restartLeading drops the grantor. After a pause it creates a new one, unless leadership or the grantor has changed
// meanwhile.
func (v *Voter) restartLeading() {
	v.grantor = nil
	v.generation++
	generation := v.generation
	time.AfterFunc(v.cfg.ElectionTimeout/restartDelayDivisor, func() {
		v.enqueue(func() {
			if v.leading && v.generation == generation {
				v.startLeading()
			}
		})
	})
}

// send sends a message. It does nothing if the address is invalid, as that of a member which has not reported yet.
func (v *Voter) send(to netip.AddrPort, message *Message) {
	if to.IsValid() && v.conn.send(to, message) {
		v.datagramsSent++
	}
}

// receive passes a report to the grantor. Without a grantor it answers with the index of the leading voter, if that is
// known and another one. It drops other messages.
func (v *Voter) receive(message *Message, from netip.AddrPort) {
	report := message.Report
	if report == nil || report.Member < 0 || report.Member >= len(v.memberAddrs) {
		v.datagramsDropped++
		return
	}
	if v.grantor != nil {
		v.memberAddrs[report.Member] = from
		v.grantor.Receive(v.now(), report)
		return
	}
	leader := v.replica.LeaderIndex()
	if leader >= 0 && leader != v.index {
		v.send(from, &Message{Leader: &leader})
	}
}

// logStatus logs a status line if statusInterval has passed since the last one. Its number of dropped datagrams
// includes the invalid announcements that the replica received.
func (v *Voter) logStatus(now pool.Instant) {
	if now.Sub(v.lastStatus) < statusInterval {
		return
	}
	v.lastStatus = now
	dropped := v.datagramsDropped + v.replica.DroppedAnnouncements()
	if v.grantor == nil {
		slog.Info("pool_voter_status",
			"leading", false,
			"datagrams_received", v.datagramsReceived,
			"datagrams_sent", v.datagramsSent,
			"datagrams_dropped", dropped,
		)
		return
	}
	totals := v.grantor.Totals()
	slog.Info("pool_voter_status",
		"leading", true,
		"datagrams_received", v.datagramsReceived,
		"datagrams_sent", v.datagramsSent,
		"datagrams_dropped", dropped,
		"batches", v.batchesProposed,
		"capacity", totals.Capacity,
		"serial", totals.Serial,
		"leased", totals.Leased,
		"free", totals.Free,
		"stranded", totals.Stranded,
		"connections", totals.Connections,
		"members_reporting", totals.ReportingMembers,
	)
}
