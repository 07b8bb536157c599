package pooler

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"ravensill/internal/config"
	"ravensill/pool"
)

const (
	lineEach = 5 * time.Second
	bootEach = 300 * time.Millisecond
)

// Voter is one of the gateways that write down what is lent: a task that owns the lender, where it leads, and all
// datagrams. The agreement is the library's (Ongaro and Ousterhout, In search of an understandable consensus algorithm, 2014).
//
// A voter is known by an id that lies on its disk. One that lost its disk has another id, and the one before is voted
// out: what it had promised is gone with the disk, so it must not count twice.
type Voter struct {
	cfg    *config.Pool
	me     int
	id     string
	raft   *raft.Raft
	stream *stream
	store  *raftboltdb.BoltStore
	socket *net.UDPConn
	inbox  chan func()
	done   chan struct{}
	ended  chan struct{}
	epoch  time.Time

	lender  *pool.Lender // nil: does not lead
	office  int          // numbers the times it led
	leads   bool
	addrs   []netip.AddrPort // of holders by seat
	boots   map[int]*heardBoot
	mending bool
	bootAt  int64
	lineAt  int64
	counts  struct{ In, Out, Dropped, Batches int }
}

type heardBoot struct {
	id string
	at int64
}

// Start opens a voter's sockets and its log.
func Start(cfg *config.Pool, me int) (v *Voter, err error) {
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, err
	}
	v = &Voter{cfg: cfg, me: me, inbox: make(chan func(), 4096), done: make(chan struct{}), ended: make(chan struct{}),
		epoch: time.Now(), addrs: make([]netip.AddrPort, cfg.Terms.Seats), boots: map[int]*heardBoot{}}
	if v.id, err = identity(cfg.Dir, me); err != nil {
		return nil, err
	}
	if v.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Listen)); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			v.release()
		}
	}()
	if v.stream, err = listen(cfg, me, v.id, func(b *Boot) { v.do(func() { v.hearBoot(b) }) }); err != nil {
		return nil, err
	}
	if v.store, err = raftboltdb.New(raftboltdb.Options{Path: filepath.Join(cfg.Dir, "log.db")}); err != nil {
		return nil, err
	}
	quiet := hclog.NewNullLogger()
	snaps, err := raft.NewFileSnapshotStoreWithLogger(cfg.Dir, 2, quiet)
	if err != nil {
		return nil, err
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(v.id)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = cfg.Election, cfg.Election, cfg.Election/2
	c.CommitTimeout = 20 * time.Millisecond
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = 4096, 1024, 30*time.Second
	c.Logger = quiet
	transport := raft.NewNetworkTransportWithLogger(v.stream, 2, cfg.Election, quiet)
	if v.raft, err = raft.NewRaft(c, &book{ledger: pool.NewLedger(&cfg.Terms)}, v.store, v.store, snaps, transport); err != nil {
		return nil, err
	}
	go v.read()
	go v.run()
	return v, nil
}

// identity reads the voter's id, or makes one.
func identity(dir string, me int) (string, error) {
	file := filepath.Join(dir, "id")
	b, err := os.ReadFile(file)
	if err == nil && strings.HasPrefix(string(b), strconv.Itoa(me)+"-") {
		return string(b), nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	if err == nil {
		return "", fmt.Errorf("%s: of another voter", file)
	}
	b = make([]byte, 8)
	rand.Read(b)
	id := strconv.Itoa(me) + "-" + hex.EncodeToString(b)
	if err := os.WriteFile(file+".new", []byte(id), 0o600); err != nil {
		return "", err
	}
	return id, os.Rename(file+".new", file)
}

// voterOf gives the place that an id stands for.
func voterOf(id raft.ServerID) int {
	text, _, _ := strings.Cut(string(id), "-")
	n, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return n
}

// Close ends the task, the agreement and the sockets.
func (v *Voter) Close() {
	close(v.done)
	<-v.ended
	v.raft.Shutdown().Error()
	v.release()
}

func (v *Voter) release() {
	if v.socket != nil {
		v.socket.Close()
	}
	if v.stream != nil {
		v.stream.Close()
	}
	if v.store != nil {
		v.store.Close()
	}
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
		case leads := <-v.raft.LeaderCh():
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
			v.boot(now)
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
	f := v.raft.Apply(text, 5*time.Second)
	go func() {
		err := f.Error()
		v.do(func() {
			if v.office != office {
				return
			}
			if err == nil {
				then(f.Response().(*pool.Ledger))
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
		if _, id := v.raft.LeaderWithID(); id != "" && id != raft.ServerID(v.id) {
			leader := voterOf(id)
			v.send(from, &Word{Leader: &leader})
		}
	default:
		v.counts.Dropped++
	}
}

func (v *Voter) hearBoot(b *Boot) {
	if b.Voter < 0 || b.Voter >= len(v.cfg.Voters) || b.Voter == v.me || voterOf(raft.ServerID(b.ID)) != b.Voter {
		v.counts.Dropped++
		return
	}
	v.boots[b.Voter] = &heardBoot{b.ID, v.now()}
	v.replace(b)
}

// boot has a voter without anything on disk say so. The first voter founds the agreement once all are there and all
// have nothing: then nothing can be lent out by an agreement before.
func (v *Voter) boot(now int64) {
	if now-v.bootAt < int64(bootEach) || v.raft.LastIndex() > 0 {
		return
	}
	v.bootAt = now
	for i := range v.cfg.Streams {
		if i != v.me {
			go v.stream.say(i, &Boot{v.me, v.id}) // said again until it is heard
		}
	}
	if v.me != 0 {
		return
	}
	servers := []raft.Server{server(v.id)}
	for i := 1; i < len(v.cfg.Voters); i++ {
		if b := v.boots[i]; b != nil && now-b.at < 5*int64(bootEach) {
			servers = append(servers, server(b.id))
		}
	}
	if len(servers) < len(v.cfg.Voters) {
		return
	}
	err := v.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
	log.Printf("event=pool_founded voters=%d error=%v", len(servers), err)
}

func server(id string) raft.Server {
	return raft.Server{Suffrage: raft.Voter, ID: raft.ServerID(id), Address: raft.ServerAddress(id)}
}

// replace votes out what a voter was before it lost its disk, and takes it in anew.
func (v *Voter) replace(b *Boot) {
	if v.lender == nil || v.mending {
		return
	}
	f := v.raft.GetConfiguration()
	if f.Error() != nil {
		return
	}
	old := raft.ServerID("")
	for _, s := range f.Configuration().Servers {
		if string(s.ID) == b.ID {
			return
		}
		if voterOf(s.ID) == b.Voter {
			old = s.ID
		}
	}
	v.mending = true
	go func() {
		var err error
		if old != "" {
			err = v.raft.RemoveServer(old, 0, 5*time.Second).Error()
		}
		if err == nil {
			s := server(b.ID)
			err = v.raft.AddVoter(s.ID, s.Address, 0, 5*time.Second).Error()
		}
		v.do(func() {
			v.mending = false
			log.Printf("event=pool_voter_replaced voter=%d error=%v", b.Voter, err)
		})
	}()
}

// line tells the operators how things stand.
func (v *Voter) line(now int64) {
	if now-v.lineAt < int64(lineEach) {
		return
	}
	v.lineAt = now
	c := &v.counts
	if v.lender == nil {
		log.Printf("event=pool_voter leads=false in=%d out=%d dropped=%d", c.In, c.Out, c.Dropped)
		return
	}
	log.Printf("event=pool_voter leads=true in=%d out=%d dropped=%d batches=%d %s", c.In, c.Out, c.Dropped, c.Batches, v.lender)
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

func (b *book) Snapshot() (raft.FSMSnapshot, error) { return snapshot{b.ledger.Clone()}, nil }

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

type snapshot struct{ ledger *pool.Ledger }

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s.ledger); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (s snapshot) Release() {}
