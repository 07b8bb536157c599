package pooler

import (
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/raft"

	"ravensill/internal/config"
	"ravensill/internal/consensus"
	"ravensill/pool"
)

const (
	lineEach       = 5 * time.Second
	proposeTimeout = 5 * time.Second
)

// Voter is one of the gateways that write down what is lent: a task that owns the lender, where it leads, and all
// datagrams. The agreement is package consensus's.
type Voter struct {
	cfg     *config.Pool
	me      int
	replica *consensus.Replica
	socket  *net.UDPConn
	inbox   chan func()
	done    chan struct{}
	ended   chan struct{}
	epoch   time.Time

	lender *pool.Lender // nil: does not lead
	office int          // numbers the times it led
	leads  bool
	addrs  []netip.AddrPort // of holders by seat
	lineAt int64
	counts struct{ In, Out, Dropped, Batches int }
}

// Start opens a voter's sockets and its log.
func Start(cfg *config.Pool, me int) (*Voter, error) {
	v := &Voter{
		cfg:   cfg,
		me:    me,
		inbox: make(chan func(), 4096),
		done:  make(chan struct{}),
		ended: make(chan struct{}),
		epoch: time.Now(),
		addrs: make([]netip.AddrPort, cfg.Terms.Seats),
	}
	var err error
	v.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, err
	}
	v.replica, err = consensus.Open(consensus.Config{
		Name:      "pool",
		Index:     me,
		Addresses: cfg.Streams,
		Listen:    cfg.Listen,
		Dir:       cfg.Dir,
		Key:       cfg.Key,
		Election:  cfg.Election,
	}, &book{ledger: pool.NewLedger(&cfg.Terms)})
	if err != nil {
		v.socket.Close()
		return nil, err
	}
	go v.read()
	go v.run()
	return v, nil
}

// Close ends the task, the agreement and the sockets.
func (v *Voter) Close() {
	close(v.done)
	<-v.ended
	v.replica.Close()
	v.socket.Close()
}

func (v *Voter) now() int64 { return int64(time.Since(v.epoch)) + 1 }

// do brings work to the task; after its end it is dropped.
func (v *Voter) do(f func()) {
	select {
	case v.inbox <- f:
	case <-v.done:
	}
}

func (v *Voter) read() {
	buf := make([]byte, most+1)
	for {
		n, from, err := v.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errIsClosed(err) {
				return
			}
			continue
		}
		w, err := Decode(v.cfg.Key, buf[:n])
		v.do(func() {
			if v.counts.In++; err != nil {
				v.counts.Dropped++
				return
			}
			v.hear(w, from)
		})
	}
}

func (v *Voter) run() {
	defer close(v.ended)
	tick := time.NewTicker(time.Duration(max(v.cfg.Terms.Tell/3, int64(10*time.Millisecond))))
	defer tick.Stop()
	for {
		select {
		case f := <-v.inbox:
			f()
		case leads := <-v.replica.Leadership():
			v.leads = leads
			v.lender = nil
			v.office++
			log.Printf("event=pool_leads yes=%t", leads)
			if leads {
				v.takeOffice()
			}
		case <-tick.C:
			now := v.now()
			if v.lender != nil {
				v.act(v.lender.Step(now, pool.Tick{}))
			}
			v.line(now)
		case <-v.done:
			return
		}
	}
}

// takeOffice reads the ledger by writing to it: what the answer holds is all that was agreed on before.
func (v *Voter) takeOffice() {
	v.propose(&pool.Batch{}, func(l *pool.Ledger) { v.lender = pool.NewLender(&v.cfg.Terms, v.now(), l) })
}

// propose has a batch agreed on. An outcome that is not sure ends the lender; where this voter still leads, it takes
// office anew.
func (v *Voter) propose(b *pool.Batch, then func(*pool.Ledger)) {
	text, err := json.Marshal(b)
	if err != nil {
		log.Printf("event=pool_failed error=%q", err)
		return
	}
	office := v.office
	v.counts.Batches++
	proposal := v.replica.Propose(text, proposeTimeout)
	go func() {
		ledger, err := proposal.Wait()
		v.do(func() {
			if v.office != office {
				return
			}
			if err == nil {
				then(ledger.(*pool.Ledger))
				return
			}
			log.Printf("event=pool_unsure error=%q", err)
			v.lender = nil
			v.office++
			office := v.office
			time.AfterFunc(v.cfg.Election/4, func() {
				v.do(func() {
					if v.leads && v.office == office {
						v.takeOffice()
					}
				})
			})
		})
	}()
}

func (v *Voter) act(out []any) {
	for _, m := range out {
		switch m := m.(type) {
		case pool.Propose:
			v.propose(&m.Batch, func(l *pool.Ledger) {
				v.act(v.lender.Step(v.now(), pool.Written{Ledger: l}))
			})
		case *pool.Grant:
			v.send(v.addrs[m.Seat], &Word{Grant: m})
		case pool.Note:
			log.Printf("event=pool_%s seat=%d life=%d units=%d", m.What, m.Seat, m.Life, m.Units)
		}
	}
}

func (v *Voter) send(to netip.AddrPort, w *Word) {
	if b, err := Encode(v.cfg.Key, w); err == nil && to.IsValid() {
		v.counts.Out++
		v.socket.WriteToUDPAddrPort(b, to)
	}
}

func (v *Voter) hear(w *Word, from netip.AddrPort) {
	switch {
	case w.Report != nil:
		r := w.Report
		if r.Seat < 0 || r.Seat >= len(v.addrs) {
			v.counts.Dropped++
			return
		}
		if v.lender != nil {
			v.addrs[r.Seat] = from
			v.lender.Step(v.now(), r)
			return
		}
		leader := v.replica.Leader()
		if leader >= 0 && leader != v.me {
			v.send(from, &Word{Leader: &leader})
		}
	default:
		v.counts.Dropped++
	}
}

// line tells the operators how things stand.
func (v *Voter) line(now int64) {
	if now-v.lineAt < int64(lineEach) {
		return
	}
	v.lineAt = now
	c := &v.counts
	dropped := c.Dropped + v.replica.Dropped()
	if v.lender == nil {
		log.Printf("event=pool_voter leads=false in=%d out=%d dropped=%d", c.In, c.Out, dropped)
		return
	}
	log.Printf("event=pool_voter leads=true in=%d out=%d dropped=%d batches=%d %s", c.In, c.Out, dropped, c.Batches, v.lender)
}

func errIsClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// book is the ledger at one voter, as the agreement changes it. It belongs to the library's task.
type book struct{ ledger *pool.Ledger }

func (b *book) Apply(l *raft.Log) any {
	var batch pool.Batch
	if err := json.Unmarshal(l.Data, &batch); err != nil { // alike at all voters: none takes it in
		log.Printf("event=pool_batch_dropped error=%q", err)
	}
	b.ledger.Apply(&batch)
	return b.ledger.Clone()
}

func (b *book) Snapshot() (raft.FSMSnapshot, error) {
	ledger := b.ledger.Clone()
	return consensus.SnapshotWriter(func(w io.Writer) error { return json.NewEncoder(w).Encode(ledger) }), nil
}

func (b *book) Restore(r io.ReadCloser) error {
	defer r.Close()
	l := &pool.Ledger{}
	if err := json.NewDecoder(r).Decode(l); err != nil {
		return err
	}
	if len(l.Entries) != len(b.ledger.Entries) || l.Floor != b.ledger.Floor || l.Reserve != b.ledger.Reserve {
		return errors.New("snapshot of other terms")
	}
	b.ledger = l
	return nil
}
