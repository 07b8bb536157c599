// Package observer runs package counterfactual at a gateway: it receives the records of ended attempts from a bounded
// queue, folds them and sends each window's summary to the collectors. At a collector it merges the summaries of all
// gateways and answers queries. It decides nothing and never delays the gateway's loop: records that find the queue
// full are dropped and counted.
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
	"ravensill/gateway"
	"ravensill/internal/clock"
	"ravensill/internal/config"
	"ravensill/internal/sockets"
)

// MaxBatchEntries is the largest number of records that the gateway's loop offers at once.
const MaxBatchEntries = 64

const (
	inboxSize         = 256 // datagrams that wait for the loop; more wait in the socket, or are lost there
	recycledBatches   = 4
	socketBufferBytes = 1 << 20
	logInterval       = 5 * time.Second // between log lines on dropped records and messages
)

// Entry is an ended attempt. Its JSON names are those of the records file.
type Entry struct {
	Request string        `json:"Req"` // id
	Attempt int           `json:"Try"` // number
	SentAt  clock.Instant `json:"At"`  // by the gateway's clock
	counterfactual.Record
}

// Observer is the observer of one gateway. Its fields belong to the goroutine of its loop, but for channels and
// atomics.
type Observer struct {
	system  sockets.System
	config  *config.Counterfactual
	member  int // index of this gateway
	zone    int
	classes []string // names of the request classes

	records    chan []*Entry                     // from the gateway's loop
	recycled   chan []*Entry                     // batches for the gateway's loop to use again
	queueDrops atomic.Int64                      // records that found the queue full
	hostIDs    atomic.Pointer[map[uint32]string] // by host number

	udp       *net.UDPConn
	datagrams chan datagram
	malformed atomic.Int64 // datagrams
	tcp       net.Listener // for queries; nil: no collector
	queries   chan pendingQuery

	done       chan struct{} // closed by Close
	goroutines sync.WaitGroup

	started     time.Time
	incarnation uint64 // the start time in nanoseconds
	folder      *counterfactual.Summarizer
	window      uint32                 // number of the current window
	ledger      *counterfactual.Ledger // nil: no collector

	unconfirmed      []*message // oldest first
	unconfirmedBytes int

	recordsFile    *os.File // nil: not configured
	recordsWritten int      // bytes

	abandoned   int // unconfirmed messages that were given up, since the latest log line
	lostRecords int // records that were not folded, since the latest log line
	loggedAt    time.Time
}

// Options are the options of an observer.
type Options struct {
	System     sockets.System
	Config     *config.Counterfactual
	Membership gateway.Membership // of this gateway
	Classes    []string           // names of the request classes
	Objectives []time.Duration    // latency objective by request class
}

// Open starts the observer of a gateway. An error names the key of the configuration.
func Open(options Options) (*Observer, error) {
	started := time.Now()
	o := &Observer{
		system:      options.System,
		config:      options.Config,
		member:      options.Membership.Index,
		zone:        options.Membership.Zone,
		classes:     options.Classes,
		records:     make(chan []*Entry, max(options.Config.QueueLength/MaxBatchEntries, 1)),
		recycled:    make(chan []*Entry, recycledBatches),
		datagrams:   make(chan datagram, inboxSize),
		queries:     make(chan pendingQuery),
		done:        make(chan struct{}),
		started:     started,
		incarnation: uint64(started.UnixNano()),
		folder:      counterfactual.NewSummarizer(options.Membership.Zone, options.Config.MaxCells),
	}
	if err := o.openResources(); err != nil {
		o.closeResources()
		return nil, err
	}
	queryAddress := "none"
	if o.tcp != nil {
		queryAddress = o.tcp.Addr().String()
		o.ledger = o.newLedger(options.Membership.Count, options.Objectives)
		o.start(o.acceptQueries)
	}
	o.start(o.readDatagrams)
	o.start(o.loop)
	slog.Info("observer_started", "listen", o.udp.LocalAddr(), "query_listen", queryAddress)
	return o, nil
}

// openResources opens the sockets and the records file.
func (o *Observer) openResources() (err error) {
	o.udp, err = o.system.ListenPacket(o.config.Listen)
	if err != nil {
		return fmt.Errorf("counterfactual.listen: %w", err)
	}
	o.udp.SetReadBuffer(socketBufferBytes)
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
func (o *Observer) newLedger(members int, objectives []time.Duration) *counterfactual.Ledger {
	return counterfactual.NewLedger(counterfactual.Settings{
		Gateways:        members,
		Window:          o.config.Window,
		Grace:           o.config.Grace,
		KeptBins:        int(o.config.Retention/o.config.Window) + 1,
		MaxCells:        o.config.MaxLedgerCells,
		MaxMissingShare: o.config.MaxMissing,
		Objectives:      objectives,
		Classes:         o.classes,
		HostID:          o.hostID,
		Yield:           runtime.Gosched,
	})
}

// start starts a goroutine, for which Close waits. A panic in it is logged and ends it alone.
func (o *Observer) start(run func()) {
	o.goroutines.Add(1)
	go func() {
		defer o.goroutines.Done()
		defer func() {
			if p := recover(); p != nil {
				slog.Error("panic", "where", "observer", "error", fmt.Sprint(p), "stack", debug.Stack())
			}
		}()
		run()
	}()
}

// Close stops the observer and waits for its goroutines. Summaries that are not sent are lost.
func (o *Observer) Close() {
	close(o.done)
	o.udp.Close()
	if o.tcp != nil {
		o.tcp.Close()
	}
	o.goroutines.Wait()
	if o.recordsFile != nil {
		o.recordsFile.Close()
	}
}

// Offer passes a batch of records to the observer, which owns it from then on, or drops it if the queue is full. It
// never waits. It returns a slice that is free for use: a recycled batch or nil, or the batch itself if that was
// dropped.
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

// hostID returns the id of a host, empty if it is not known.
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

// loop runs until Close.
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

// now returns the time of the ledger's clock. It is monotonic, unlike the time of day, and starts at an hour, so that
// the age of a message does not lead before its zero.
func (o *Observer) now() clock.Instant { return clock.Instant(time.Hour + time.Since(o.started)) }
