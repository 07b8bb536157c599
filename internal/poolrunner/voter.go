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
	statusInterval  = 5 * time.Second // between status lines in the log
	proposeTimeout  = 5 * time.Second
	minTickInterval = 10 * time.Millisecond
	ticksPerReport  = 3 // ticks in a report interval
	inboxSize       = 4096

	// restartsPerElection is the share of the election timeout that a voter waits before it starts a new grantor.
	restartsPerElection = 4
)

// Voter is one of the raft voters, which replicate the ledger with package consensus. The goroutine of run owns the
// lease grantor while the voter leads, and sends all datagrams.
type Voter struct {
	cfg     *config.Pool
	index   int
	replica *consensus.Replica
	conn    *messageConn
	inbox   chan func() // work for run
	done    chan struct{}
	task    sync.WaitGroup // run
	helpers sync.WaitGroup // goroutines that pass work to run
	epoch   time.Time      // start of the clock

	// The fields below belong to the goroutine of run.
	grantor     *pool.Grantor    // nil unless the voter leads and has read the ledger
	term        int              // number of changes of leadership and of the grantor
	leading     bool             // as reported by the replica
	memberAddrs []netip.AddrPort // of lease holders, by member index
	lastStatus  pool.Instant     // time of the latest status line
	received    int              // datagrams
	sent        int              // datagrams
	dropped     int              // invalid datagrams
	batches     int              // proposed
}

// StartVoter opens the sockets and the replicated log of the voter with an index, and starts its goroutines.
func StartVoter(system sockets.System, cfg *config.Pool, index int) (*Voter, error) {
	v := &Voter{
		cfg:         cfg,
		index:       index,
		inbox:       make(chan func(), inboxSize),
		done:        make(chan struct{}),
		epoch:       time.Now(),
		memberAddrs: make([]netip.AddrPort, cfg.Terms.Members),
	}
	var err error
	v.conn, err = listenMessages(system, cfg.Listen, cfg.Key)
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
	}, &ledgerMachine{ledger: pool.NewLedger(&cfg.Terms)})
	if err != nil {
		v.conn.close()
		return nil, err
	}
	v.helpers.Go(v.read)
	v.task.Go(v.run)
	return v, nil
}

// Close closes the replica and the socket, and waits until the goroutines have ended.
func (v *Voter) Close() {
	close(v.done)
	v.task.Wait()
	v.replica.Close() // ends proposals in progress
	v.conn.close()
	v.helpers.Wait()
}

// now returns the time since the start. It is above 0, which means no time in package pool.
func (v *Voter) now() pool.Instant { return pool.Instant(time.Since(v.epoch)) + 1 }

// enqueue passes f to the goroutine of run. It drops f after Close.
func (v *Voter) enqueue(f func()) {
	select {
	case v.inbox <- f:
	case <-v.done:
	}
}

// read passes datagrams to the goroutine of run until the socket is closed.
func (v *Voter) read() {
	v.conn.read(func(message *Message, err error, from netip.AddrPort) {
		v.enqueue(func() {
			v.received++
			if err != nil {
				v.dropped++
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
		case f := <-v.inbox:
			f()
		case leading := <-v.replica.Leadership():
			v.leading = leading
			v.grantor = nil
			v.term++
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

// tick proposes what the grantor decides, and logs the status if a line is due.
func (v *Voter) tick(now pool.Instant) {
	if v.grantor != nil {
		batch, notes := v.grantor.Tick(now)
		logNotes(notes)
		if batch != nil {
			v.propose(batch, v.sendGrants)
		}
	}
	v.logStatus(now)
}

// sendGrants sends the grants that follow from the commit of a batch.
func (v *Voter) sendGrants(ledger *pool.Ledger) {
	for _, grant := range v.grantor.Committed(ledger) {
		v.send(v.memberAddrs[grant.Member], &Message{Grant: grant})
	}
}

func logNotes(notes []pool.Warning) {
	for _, note := range notes {
		slog.Warn(note.Event,
			"member", note.Member,
			"incarnation", note.Incarnation,
			"units", note.Units,
		)
	}
}

// startLeading reads the ledger by an empty batch: when that is applied, so is all that was committed before.
func (v *Voter) startLeading() {
	v.propose(&pool.Batch{}, func(ledger *pool.Ledger) {
		v.grantor = pool.NewGrantor(&v.cfg.Terms, v.now(), ledger)
	})
}

// propose proposes a batch and calls onCommit on the goroutine of run, with the ledger after the batch. If the
// outcome is uncertain, it drops the grantor and starts leading again.
func (v *Voter) propose(batch *pool.Batch, onCommit func(*pool.Ledger)) {
	text, err := json.Marshal(batch)
	if err != nil {
		slog.Error("pool_batch_encode_failed", "error", err)
		return
	}
	term := v.term
	v.batches++
	proposal := v.replica.Propose(text, proposeTimeout)
	v.helpers.Go(func() {
		ledger, err := proposal.Wait()
		v.enqueue(func() {
			switch {
			case v.term != term:
			case err == nil:
				onCommit(ledger.(*pool.Ledger))
			default:
				slog.Warn("pool_lease_uncertain", "error", err)
				v.restartLeading()
			}
		})
	})
}

// restartLeading drops the grantor, and starts a new one after a pause if the voter still leads then.
func (v *Voter) restartLeading() {
	v.grantor = nil
	v.term++
	term := v.term
	time.AfterFunc(v.cfg.ElectionTimeout/restartsPerElection, func() {
		v.enqueue(func() {
			if v.leading && v.term == term {
				v.startLeading()
			}
		})
	})
}

// send sends a message, unless the address is not known yet.
func (v *Voter) send(to netip.AddrPort, message *Message) {
	if to.IsValid() && v.conn.send(to, message) {
		v.sent++
	}
}

// receive handles a report, or answers it with the voter that leads.
func (v *Voter) receive(message *Message, from netip.AddrPort) {
	report := message.Report
	if report == nil || report.Member < 0 || report.Member >= len(v.memberAddrs) {
		v.dropped++
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

// logStatus logs a status line when one is due.
func (v *Voter) logStatus(now pool.Instant) {
	if now.Sub(v.lastStatus) < statusInterval {
		return
	}
	v.lastStatus = now
	dropped := v.dropped + v.replica.DroppedAnnouncements()
	if v.grantor == nil {
		slog.Info("pool_voter_status",
			"leading", false,
			"datagrams_received", v.received,
			"datagrams_sent", v.sent,
			"datagrams_dropped", dropped,
		)
		return
	}
	totals := v.grantor.Totals()
	slog.Info("pool_voter_status",
		"leading", true,
		"datagrams_received", v.received,
		"datagrams_sent", v.sent,
		"datagrams_dropped", dropped,
		"batches", v.batches,
		"capacity", totals.Capacity,
		"serial", totals.Serial,
		"leased", totals.Leased,
		"free", totals.Free,
		"stranded", totals.Stranded,
		"connections", totals.Connections,
		"members_reporting", totals.ReportingMembers,
	)
}
