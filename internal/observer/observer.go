// Package observer runs package counterfactual at a gateway. It receives the records of ended attempts through a
// bounded queue, adds them up, and sends the summary of each window to the collectors by UDP. A collector is a gateway
// that also merges the summaries of all gateways and answers queries by TCP. The package has no effect on routing and
// never delays the gateway's loop: while the queue is full, records are dropped and counted.
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
	datagramQueueLength = 256 // datagrams; further ones wait in the socket's buffer or are lost there
	maxRecycledBatches  = 4   // batches that wait for Offer to return them
	socketBufferBytes   = 1 << 20
	logInterval         = 5 * time.Second // least time between two log lines on dropped records and messages
)

// Entry is the record of an ended attempt. Its JSON names are those of the records file.
type Entry struct {
	Request string        `json:"Req"` // id of the request
	Attempt int           `json:"Try"` // number of the attempt within the request
	SentAt  clock.Instant `json:"At"`  // time of sending by the gateway's clock
	counterfactual.Record
}

// Observer is the observer of one gateway. Its methods Offer, SetHostIDs and Close may be called by other goroutines.
// Fields that change after Open belong to the goroutine of loop, except for channels and atomics.
type Observer struct {
	system      sockets.System
	config      *config.Counterfactual
	memberIndex int      // member index of this gateway
	zone        int      // zone index of this gateway
	classes     []string // names of the request classes, by index

	records        chan []*Entry                     // batches from Offer
	recycled       chan []*Entry                     // handled batches, for Offer to return
	droppedRecords atomic.Int64                      // records that Offer dropped in the current window
	hostIDs        atomic.Pointer[map[uint32]string] // ids by host number; nil before SetHostIDs

	udpConn           *net.UDPConn
	datagrams         chan datagram
	rejectedDatagrams atomic.Int64      // datagrams that were rejected since the latest log line
	queryListener     net.Listener      // nil unless this gateway is a collector
	queries           chan pendingQuery // queries on their way from the goroutines of connections to loop

	done       chan struct{}  // closed by Close
	goroutines sync.WaitGroup // the goroutines started by startGoroutine

	started      time.Time
	incarnation  uint64 // time of Open in nanoseconds since 1970
	summarizer   *counterfactual.Summarizer
	windowNumber uint32                 // number of the current window, from 0
	ledger       *counterfactual.Ledger // nil unless this gateway is a collector

	unconfirmed      []*message // messages to collectors, oldest first
	unconfirmedBytes int        // sum of their sizes

	recordsFile    *os.File // nil: not configured
	recordsWritten int      // bytes since Open; the configured limit after an error

	abandonedMessages int       // messages dropped without confirmation since the latest log line
	lostRecords       int       // records that are not in the summaries since the latest log line
	lastDropLog       time.Time // zero before the first log line
}

// Options are the parameters of Open.
type Options struct {
	System     sockets.System
	Config     *config.Counterfactual
	Membership gateway.Membership // place of this gateway in its fleet
	Classes    []string           // names of the request classes
	Objectives []time.Duration    // latency objective of each request class, by index
}

// Open opens the sockets and the records file and starts the goroutines of an observer. An error begins with the key of
// the configuration at fault.
func Open(options Options) (*Observer, error) {
	started := time.Now()
	o := &Observer{
		system:      options.System,
		config:      options.Config,
		memberIndex: options.Membership.Index,
		zone:        options.Membership.Zone,
		classes:     options.Classes,
		records:     make(chan []*Entry, max(options.Config.QueueLength/MaxBatchEntries, 1)),
		recycled:    make(chan []*Entry, maxRecycledBatches),
		datagrams:   make(chan datagram, datagramQueueLength),
		queries:     make(chan pendingQuery),
		done:        make(chan struct{}),
		started:     started,
		incarnation: uint64(started.UnixNano()),
		summarizer:  counterfactual.NewSummarizer(options.Membership.Zone, options.Config.MaxCells),
	}
	if err := o.openResources(); err != nil {
		o.closeResources()
		return nil, err
	}
	queryAddress := "none"
	if o.queryListener != nil {
		queryAddress = o.queryListener.Addr().String()
		o.ledger = o.newLedger(options.Membership.Count, options.Objectives)
		o.startGoroutine(o.acceptQueries)
	}
	o.startGoroutine(o.readDatagrams)
	o.startGoroutine(o.loop)
	slog.Info("observer_started", "listen", o.udpConn.LocalAddr(), "query_listen", queryAddress)
	return o, nil
}

// openResources opens the sockets and the records file. After an error, some of them are open.
func (o *Observer) openResources() (err error) {
	o.udpConn, err = o.system.ListenPacket(o.config.Listen)
	if err != nil {
		return fmt.Errorf("counterfactual.listen: %w", err)
	}
	o.udpConn.SetReadBuffer(socketBufferBytes)
	if o.config.RecordsFile != "" {
		o.recordsFile, err = os.OpenFile(o.config.RecordsFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return fmt.Errorf("counterfactual.records: %w", err)
		}
	}
	if slices.Contains(o.config.Collectors, o.memberIndex) {
		listener, err := o.system.Listen(o.config.QueryListen)
		if err != nil {
			return fmt.Errorf("counterfactual.ask: %w", err)
		}
		o.queryListener = &sockets.Listener{TCPListener: listener, System: o.system}
	}
	return nil
}

// closeResources closes what openResources opened, also after an error.
func (o *Observer) closeResources() {
	if o.udpConn != nil {
		o.udpConn.Close()
	}
	if o.queryListener != nil {
		o.queryListener.Close()
	}
	if o.recordsFile != nil {
		o.recordsFile.Close()
	}
}

// newLedger returns an empty ledger for the reports of a number of gateways.
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

// startGoroutine runs a function in a goroutine, for which Close waits. A panic is logged and ends only this goroutine.
func (o *Observer) startGoroutine(run func()) {
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

// Close stops the observer and waits for its goroutines. The current window and unconfirmed summaries are lost. Close
// must be called once.
func (o *Observer) Close() {
	close(o.done)
	o.udpConn.Close()
	if o.queryListener != nil {
		o.queryListener.Close()
	}
	o.goroutines.Wait()
	if o.recordsFile != nil {
		o.recordsFile.Close()
	}
}

// Offer passes a batch of records to the observer, which owns it from then on, or counts the records as dropped if the
// queue is full. It never blocks. It returns a slice that the caller may overwrite: a batch that was handled before,
// nil, or the same batch if it was dropped.
func (o *Observer) Offer(batch []*Entry) (free []*Entry) {
	select {
	case o.records <- batch:
	default:
		o.droppedRecords.Add(int64(len(batch)))
		return batch
	}
	select {
	case free = <-o.recycled:
	default:
	}
	return free
}

// SetHostIDs sets the ids of the hosts by their numbers. The map must not be changed afterwards.
func (o *Observer) SetHostIDs(ids map[uint32]string) { o.hostIDs.Store(&ids) }

// hostID returns the id of a host, or an empty string if it is unknown.
func (o *Observer) hostID(number uint32) string {
	if ids := o.hostIDs.Load(); ids != nil {
		return (*ids)[number]
	}
	return ""
}

// hostNumber returns the number of the host with an id, or false if the id is unknown.
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

// loop handles records, datagrams and queries one at a time, and ends a window at each tick, until Close.
func (o *Observer) loop() {
	tick := time.NewTicker(o.config.Window)
	defer tick.Stop()
	for {
		select {
		case batch := <-o.records:
			o.addBatch(batch)
		case <-tick.C:
			o.endWindow(time.Now())
		case d := <-o.datagrams:
			o.handleDatagram(d)
		case q := <-o.queries:
			q.answers <- o.answerQuery(&q.query)
		case <-o.done:
			return
		}
	}
}

// ledgerTime returns the time of the ledger's clock. Unlike the time of day, it never jumps. It starts at one hour
// instead of 0, because the ledger ignores windows that ended before 0: those of the last hour before the start of this
// observer still count.
func (o *Observer) ledgerTime() clock.Instant {
	return clock.Instant(time.Hour + time.Since(o.started))
}
