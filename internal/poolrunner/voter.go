package poolrunner

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/raft"

	"ravensill/internal/config"
	"ravensill/internal/consensus"
	"ravensill/internal/sockets"
	"ravensill/pool"
)

const (
	statusInterval  = 5 * time.Second // between two status lines in the log
	proposeTimeout  = 5 * time.Second
	minTickInterval = 10 * time.Millisecond
	inboxSize       = 4096
)

// Voter is one of the raft voters, which replicate the ledger with package consensus. Its task owns the lease grantor while the
// voter leads, and sends all datagrams. The fields below epoch belong to the task.
type Voter struct {
	system  sockets.System
	cfg     *config.Pool
	index   int
	replica *consensus.Replica
	socket  *net.UDPConn
	inbox   chan func()
	done    chan struct{}
	ended   chan struct{}
	epoch   time.Time

	grantor     *pool.Grantor    // nil unless the voter leads and has read the ledger
	term        int              // counts changes of leadership and of the grantor
	leading     bool             // as raft says
	memberAddrs []netip.AddrPort // of lease holders, by member index
	lastStatus  int64            // time of the last status line, in ns
	received    int              // datagrams
	sent        int              // datagrams
	dropped     int              // invalid datagrams
	batches     int              // proposed
}

// StartVoter opens the sockets and the log of the voter with the index, and starts its task.
func StartVoter(system sockets.System, cfg *config.Pool, index int) (*Voter, error) {
	v := &Voter{
		system:      system,
		cfg:         cfg,
		index:       index,
		inbox:       make(chan func(), inboxSize),
		done:        make(chan struct{}),
		ended:       make(chan struct{}),
		epoch:       time.Now(),
		memberAddrs: make([]netip.AddrPort, cfg.Terms.Members),
	}
	var err error
	v.socket, err = system.ListenPacket(cfg.Listen)
	if err != nil {
		return nil, err
	}
	v.replica, err = consensus.Open(consensus.Config{
		Name:      "pool",
		Sockets:   system,
		Index:     index,
		Addresses: cfg.VoterStreams,
		Listen:    cfg.Listen,
		Dir:       cfg.Dir,
		Key:       cfg.Key,
		Election:  cfg.ElectionTimeout,
	}, &ledgerMachine{ledger: pool.NewLedger(&cfg.Terms)})
	if err != nil {
		v.socket.Close()
		return nil, err
	}
	go v.read()
	go v.run()
	return v, nil
}

// Close ends the task, then closes the replica and the socket.
func (v *Voter) Close() {
	close(v.done)
	<-v.ended
	v.replica.Close()
	v.socket.Close()
}

// now returns the time since the start, in nanoseconds and above 0.
func (v *Voter) now() int64 { return int64(time.Since(v.epoch)) + 1 }

// runInTask has the task run f. It drops f after Close.
func (v *Voter) runInTask(f func()) {
	select {
	case v.inbox <- f:
	case <-v.done:
	}
}

// read passes datagrams to the task until the socket is closed.
func (v *Voter) read() {
	buffer := make([]byte, maxDatagramBytes+1)
	var pause sockets.ReadPause
	for {
		n, from, err := v.system.ReadPacket(v.socket, buffer)
		if isClosed(err) {
			return
		}
		if err != nil {
			pause.Failed()
			continue
		}
		pause.Succeeded()
		message, err := Decode(v.cfg.Key, buffer[:n])
		v.runInTask(func() {
			v.received++
			if err != nil {
				v.dropped++
				return
			}
			v.receive(message, from)
		})
	}
}

// run is the voter's task.
func (v *Voter) run() {
	defer close(v.ended)
	tick := time.NewTicker(max(time.Duration(v.cfg.Terms.ReportInterval/3), minTickInterval))
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
			now := v.now()
			if v.grantor != nil {
				v.execute(v.grantor.Step(now, pool.Tick{}))
			}
			v.logStatus(now)
		case <-v.done:
			return
		}
	}
}

// startLeading reads the ledger by proposing an empty batch: once that is committed, so is all that was committed before.
func (v *Voter) startLeading() {
	v.propose(&pool.Batch{}, func(ledger *pool.Ledger) {
		v.grantor = pool.NewGrantor(&v.cfg.Terms, v.now(), ledger)
	})
}

// propose proposes a batch and calls committed in the task with the ledger that has it applied. If the outcome is uncertain it drops
// the grantor and starts leading again.
func (v *Voter) propose(batch *pool.Batch, committed func(*pool.Ledger)) {
	text, err := json.Marshal(batch)
	if err != nil {
		slog.Error("pool_batch_encode_failed", "error", err)
		return
	}
	term := v.term
	v.batches++
	proposal := v.replica.Propose(text, proposeTimeout)
	go func() {
		ledger, err := proposal.Wait()
		v.runInTask(func() {
			switch {
			case v.term != term:
			case err == nil:
				committed(ledger.(*pool.Ledger))
			default:
				slog.Warn("pool_lease_uncertain", "error", err)
				v.restartLeading()
			}
		})
	}()
}

// restartLeading drops the grantor, and makes a new one after a pause if the voter still leads then.
func (v *Voter) restartLeading() {
	v.grantor = nil
	v.term++
	term := v.term
	time.AfterFunc(v.cfg.ElectionTimeout/4, func() {
		v.runInTask(func() {
			if v.leading && v.term == term {
				v.startLeading()
			}
		})
	})
}

// execute carries out what the grantor returned.
func (v *Voter) execute(actions []any) {
	for _, action := range actions {
		switch action := action.(type) {
		case pool.Propose:
			v.propose(&action.Batch, func(ledger *pool.Ledger) {
				v.execute(v.grantor.Step(v.now(), pool.Committed{Ledger: ledger}))
			})
		case *pool.Grant:
			v.send(v.memberAddrs[action.Member], &Message{Grant: action})
		case pool.Note:
			slog.Warn(action.Event,
				"member", action.Member,
				"incarnation", action.Incarnation,
				"units", action.Units,
			)
		}
	}
}

// send sends a message, unless the address is not known yet.
func (v *Voter) send(to netip.AddrPort, message *Message) {
	datagram, err := Encode(v.cfg.Key, message)
	if err != nil || !to.IsValid() {
		return
	}
	v.sent++
	v.socket.WriteToUDPAddrPort(datagram, to)
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
		v.grantor.Step(v.now(), report)
		return
	}
	leader := v.replica.Leader()
	if leader >= 0 && leader != v.index {
		v.send(from, &Message{Leader: &leader})
	}
}

// logStatus logs a status line when one is due.
func (v *Voter) logStatus(now int64) {
	if now-v.lastStatus < int64(statusInterval) {
		return
	}
	v.lastStatus = now
	dropped := v.dropped + v.replica.Dropped()
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
		"leased", totals.Lent,
		"free", totals.Free,
		"stranded", totals.Stranded,
		"connections", totals.Held,
		"members_reporting", totals.Reporting,
	)
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// ledgerMachine is the raft state machine of one voter: its copy of the ledger. It belongs to the raft library's task.
type ledgerMachine struct{ ledger *pool.Ledger }

// Apply applies a committed batch and returns a copy of the ledger. One that can't be read is skipped, at all voters alike.
func (m *ledgerMachine) Apply(entry *raft.Log) any {
	var batch pool.Batch
	if err := json.Unmarshal(entry.Data, &batch); err != nil {
		slog.Error("pool_batch_dropped", "error", err)
	}
	m.ledger.Apply(&batch)
	return m.ledger.Clone()
}

// Snapshot returns the ledger as JSON.
func (m *ledgerMachine) Snapshot() (raft.FSMSnapshot, error) {
	ledger := m.ledger.Clone()
	return consensus.SnapshotWriter(func(w io.Writer) error { return json.NewEncoder(w).Encode(ledger) }), nil
}

// Restore reads a snapshot. One under other terms is an error.
func (m *ledgerMachine) Restore(snapshot io.ReadCloser) error {
	defer snapshot.Close()
	ledger := &pool.Ledger{}
	if err := json.NewDecoder(snapshot).Decode(ledger); err != nil {
		return err
	}
	sameTerms := len(ledger.Entries) == len(m.ledger.Entries) && ledger.Floor == m.ledger.Floor && ledger.Reserve == m.ledger.Reserve
	if !sameTerms {
		return errors.New("snapshot of other terms")
	}
	m.ledger = ledger
	return nil
}
