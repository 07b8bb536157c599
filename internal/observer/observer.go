// Package observer is the task that carries out what package counterfactual needs: it takes the records of ended attempts from a
// bounded queue, folds them, sends each window's summary to the collectors, and at a collector merges the summaries of the fleet
// and answers queries. It decides nothing and never delays the loop: a record that finds the queue full is dropped and counted.
package observer

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ravensill/counterfactual"
	"ravensill/internal/config"
	"ravensill/internal/sockets"
)

// Batch is the largest number of records that the loop hands over at a time.
const Batch = 64

const (
	inboxSize    = 256             // datagrams that wait for the task; more wait in the socket, or are lost there
	socketBuffer = 1 << 20         // bytes of the socket's receive buffer
	logInterval  = 5 * time.Second // between log lines on what was dropped
)

// Entry is an ended attempt as the loop hands it over. The names of its JSON form are those of the records file.
type Entry struct {
	Request string `json:"Req"` // the request's id
	Attempt int    `json:"Try"` // the attempt's number
	SentAt  int64  `json:"At"`  // ns of the gateway's clock
	counterfactual.Record
}

// Observer is the task. Its fields belong to its goroutine, but for the channels and atomics.
type Observer struct {
	system  sockets.System
	config  *config.Counterfactual
	member  int // index of this gateway
	zone    int
	classes []string // names of the request classes

	records    chan []*Entry                     // from the loop
	recycled   chan []*Entry                     // batches that the loop may use again
	queueDrops atomic.Int64                      // records that found the queue full
	hostIDs    atomic.Pointer[map[uint32]string] // by host number

	udp       *net.UDPConn
	datagrams chan datagram
	malformed atomic.Int64 // datagrams that no gateway sends so
	tcp       net.Listener // for queries; nil: no collector
	queries   chan pendingQuery

	done  chan struct{} // closed by Close
	tasks sync.WaitGroup

	started     time.Time
	incarnation uint64 // the start time, ns
	folder      *counterfactual.Folder
	window      uint32                 // number of the window under way
	ledger      *counterfactual.Ledger // nil: no collector

	unconfirmed      []*message // oldest first
	unconfirmedBytes int

	recordsFile    *os.File // nil: not configured
	recordsWritten int      // bytes

	abandoned   int // messages given up unconfirmed since the last log line
	lostRecords int // records not folded since the last log line
	loggedAt    time.Time
}

// Open starts the observer of a gateway on the sockets of system, given its member index of so many and its zone. Classes and objectives are the names of
// the request classes and their latency objectives in ns. An error names the key of the configuration.
func Open(system sockets.System, config *config.Counterfactual, member, zone, members int, classes []string, objectives []int64) (*Observer, error) {
	started := time.Now()
	o := &Observer{
		system:      system,
		config:      config,
		member:      member,
		zone:        zone,
		classes:     classes,
		records:     make(chan []*Entry, max(config.QueueLength/Batch, 1)),
		recycled:    make(chan []*Entry, 4),
		datagrams:   make(chan datagram, inboxSize),
		queries:     make(chan pendingQuery),
		done:        make(chan struct{}),
		started:     started,
		incarnation: uint64(started.UnixNano()),
		folder:      counterfactual.NewFolder(zone, config.MaxCells),
	}
	if err := o.openResources(); err != nil {
		o.closeResources()
		return nil, err
	}
	queryAddr := "none"
	if o.tcp != nil {
		queryAddr = o.tcp.Addr().String()
		o.ledger = o.newLedger(members, objectives)
		o.start(o.acceptQueries)
	}
	o.start(o.readDatagrams)
	o.start(o.loop)
	slog.Info("observer_started", "listen", o.udp.LocalAddr(), "query_listen", queryAddr)
	return o, nil
}

// openResources opens the sockets and the records file.
func (o *Observer) openResources() (err error) {
	o.udp, err = o.system.ListenPacket(o.config.Listen)
	if err != nil {
		return fmt.Errorf("counterfactual.listen: %w", err)
	}
	o.udp.SetReadBuffer(socketBuffer)
	if o.config.RecordsFile != "" {
		o.recordsFile, err = os.OpenFile(o.config.RecordsFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return fmt.Errorf("counterfactual.records: %w", err)
		}
	}
	if slices.Contains(o.config.Collectors, o.member) {
		listener, err := o.system.Listen(o.config.QueryListen)
		if err != nil {
			return fmt.Errorf("counterfactual.ask: %w", err)
		}
		o.tcp = &sockets.Listener{TCPListener: listener, System: o.system}
	}
	return nil
}

// closeResources closes what openResources opened.
func (o *Observer) closeResources() {
	if o.udp != nil {
		o.udp.Close()
	}
	if o.tcp != nil {
		o.tcp.Close()
	}
	if o.recordsFile != nil {
		o.recordsFile.Close()
	}
}

// newLedger returns the ledger of a collector.
func (o *Observer) newLedger(members int, objectives []int64) *counterfactual.Ledger {
	return counterfactual.NewLedger(counterfactual.Settings{
		Gateways:   members,
		Window:     int64(o.config.Window),
		Grace:      int64(o.config.Grace),
		KeptBins:   int(o.config.Retention/o.config.Window) + 1,
		MaxCells:   o.config.MaxLedgerCells,
		MaxMissing: o.config.MaxMissing,
		Objectives: objectives,
		Classes:    o.classes,
		HostID:     o.hostID,
		Yield:      runtime.Gosched,
	})
}

// start starts a goroutine of the task; a panic in one is logged and ends it alone.
func (o *Observer) start(f func()) {
	o.tasks.Add(1)
	go func() {
		defer o.tasks.Done()
		defer func() {
			if p := recover(); p != nil {
				slog.Error("panic", "where", "observer", "error", fmt.Sprint(p), "stack", debug.Stack())
			}
		}()
		f()
	}()
}

// Close ends the task. Summaries not sent yet are lost.
func (o *Observer) Close() {
	close(o.done)
	o.udp.Close()
	if o.tcp != nil {
		o.tcp.Close()
	}
	o.tasks.Wait()
	if o.recordsFile != nil {
		o.recordsFile.Close()
	}
}

// Offer hands over a batch of records, and never waits. The batch belongs to the task then. The returned slice, empty or an
// earlier batch, is free for use.
func (o *Observer) Offer(batch []*Entry) (free []*Entry) {
	select {
	case o.records <- batch:
	default:
		o.queueDrops.Add(int64(len(batch)))
		return batch
	}
	select {
	case free = <-o.recycled:
	default:
	}
	return free
}

// SetHostIDs sets the hosts' ids by their numbers. The map must not be changed afterwards.
func (o *Observer) SetHostIDs(ids map[uint32]string) { o.hostIDs.Store(&ids) }

// hostID returns the id of a host; "" if it is not known.
func (o *Observer) hostID(number uint32) string {
	if ids := o.hostIDs.Load(); ids != nil {
		return (*ids)[number]
	}
	return ""
}

// hostNumber returns the number of a host.
func (o *Observer) hostNumber(id string) (number uint32, ok bool) {
	ids := o.hostIDs.Load()
	if ids == nil {
		return 0, false
	}
	for number, other := range *ids {
		if other == id {
			return number, true
		}
	}
	return 0, false
}

// loop is the task's goroutine.
func (o *Observer) loop() {
	tick := time.NewTicker(o.config.Window)
	defer tick.Stop()
	for {
		select {
		case batch := <-o.records:
			o.fold(batch)
		case <-tick.C:
			o.closeWindow(time.Now())
		case d := <-o.datagrams:
			o.receive(d)
		case q := <-o.queries:
			q.answers <- o.answer(&q.query)
		case <-o.done:
			return
		}
	}
}

// now is the time since the start, in ns: the ledger uses it rather than the time of day.
func (o *Observer) now() int64 { return int64(time.Hour) + int64(time.Since(o.started)) }
