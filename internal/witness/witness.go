// Package witness is the task that carries what package counterfactual needs: it takes in the records of ended
// dispatches from a bounded queue, folds them, sends each window's summary to the collectors, and at a collector
// merges what the fleet tells and answers questions. It decides nothing and never holds the loop up: a record that
// finds the queue full is dropped and counted.
package witness

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"log"
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
)

const (
	Batch    = 64        // records that the loop hands over at a time, at most
	inbox    = 256       // datagrams that wait; more stay in the socket, or are lost there
	mostKept = 512 << 10 // bytes of summaries that wait for a confirmation
	mostAsk  = 4 << 10   // bytes of a question
	askers   = 8         // who ask at a time
	askWait  = 10 * time.Second
	lineEach = 5 * time.Second // between log lines on what was dropped
	report   = 'S'             // first byte of a summary; the part follows
	confirm  = 'A'             // of its confirmation; the part's name follows
)

// Entry is an ended dispatch as the loop hands it over.
type Entry struct {
	Req string
	Try int
	At  int64 // when it was dispatched, by the gateway's clock
	counterfactual.Record
}

// Witness is the task. Its fields belong to its goroutine, but for the channels and the counts by atomics.
type Witness struct {
	set     *config.Counterfactual
	seat    int
	zone    int
	names   []string
	queue   chan []*Entry
	free    chan []*Entry // folded, to be used again
	missed  atomic.Int64  // records that found the queue full
	strange atomic.Int64  // datagrams that no gateway sends so
	ids     atomic.Pointer[map[uint32]string]
	udp     *net.UDPConn
	tcp     net.Listener // nil: no collector
	heard   chan datagram
	asked   chan question
	over    chan struct{}
	all     sync.WaitGroup
	folder  *counterfactual.Folder
	ledger  *counterfactual.Ledger // nil: no collector
	epoch   time.Time
	life    uint64
	window  uint32
	unsent  []*message
	kept    int // bytes of these
	gaveUp  int // messages that were never confirmed
	lost    int // records not folded, of which the log has told
	records *os.File
	written int
	lineAt  time.Time
}

type datagram struct {
	part *counterfactual.Part
	ack  *name
	from int // seat
}

type name struct {
	_      struct{} `cbor:",toarray"`
	Life   uint64
	Window uint32
	Nth    uint16
}

// message is a part that one collector has not yet confirmed.
type message struct {
	name
	to     int
	encode func(age uint32) []byte
	end    time.Time
	size   int
}

type question struct {
	ask    Ask
	answer chan []any
}

// Open starts the task of a gateway with a seat in a zone. Targets are the frontends' response targets, by index.
func Open(set *config.Counterfactual, seat, zone, seats int, names []string, targets []int64) (*Witness, error) {
	w := &Witness{set: set, seat: seat, zone: zone, names: names, queue: make(chan []*Entry, max(set.Queue/Batch, 1)), free: make(chan []*Entry, 4),
		heard: make(chan datagram, inbox), asked: make(chan question), over: make(chan struct{}), epoch: time.Now(),
		folder: counterfactual.NewFolder(zone, set.Cells)}
	w.life = uint64(w.epoch.UnixNano())
	var err error
	if w.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(set.Listen)); err != nil {
		return nil, fmt.Errorf("counterfactual.listen: %w", err)
	}
	w.udp.SetReadBuffer(1 << 20)
	if set.Records != "" {
		if w.records, err = os.OpenFile(set.Records, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			w.udp.Close()
			return nil, fmt.Errorf("counterfactual.records: %w", err)
		}
	}
	at := "none"
	if slices.Contains(set.Collectors, seat) {
		if w.tcp, err = net.Listen("tcp4", set.Ask.String()); err != nil {
			w.udp.Close()
			if w.records != nil {
				w.records.Close()
			}
			return nil, fmt.Errorf("counterfactual.ask: %w", err)
		}
		at = w.tcp.Addr().String()
		w.ledger = counterfactual.NewLedger(counterfactual.Settings{Gateways: seats, Window: int64(set.Window) * 1e6,
			Grace: int64(set.Grace) * 1e6, Bins: set.Keep*1000/set.Window + 1, Cells: set.Ledger, Missing: set.Missing,
			Targets: targets, Names: names, Host: w.id, Pause: runtime.Gosched})
		w.go_(w.accept)
	}
	w.go_(w.read)
	w.go_(w.run)
	log.Printf("event=witnessing listen=%s ask=%s", w.udp.LocalAddr(), at)
	return w, nil
}

// go_ starts a goroutine of the task; a fault in one is logged and ends it alone.
func (w *Witness) go_(f func()) {
	w.all.Add(1)
	go func() {
		defer w.all.Done()
		defer func() {
			if p := recover(); p != nil {
				log.Printf("event=panic where=witness error=%q stack=%q", fmt.Sprint(p), debug.Stack())
			}
		}()
		f()
	}()
}

// Close ends the task; what is not told yet is lost.
func (w *Witness) Close() {
	close(w.over)
	w.udp.Close()
	if w.tcp != nil {
		w.tcp.Close()
	}
	w.all.Wait()
	if w.records != nil {
		w.records.Close()
	}
}

// Offer hands over a batch of records; it never waits. Their memory is the task's from then on; what it gives back
// for use again is empty or an earlier batch.
func (w *Witness) Offer(batch []*Entry) (free []*Entry) {
	select {
	case w.queue <- batch:
		select {
		case free = <-w.free:
		default:
		}
		return free
	default:
		w.missed.Add(int64(len(batch)))
		return batch
	}
}

func (w *Witness) run() {
	tick := time.NewTicker(time.Duration(w.set.Window) * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case batch := <-w.queue:
			w.fold(batch)
		case <-tick.C:
			w.close(time.Now())
		case d := <-w.heard:
			w.take(d)
		case q := <-w.asked:
			q.answer <- w.answer(&q.ask)
		case <-w.over:
			return
		}
	}
}

func (w *Witness) fold(batch []*Entry) {
	for _, e := range batch {
		w.folder.Add(&e.Record)
		w.record(e)
	}
	select {
	case w.free <- batch:
	default:
	}
}

// record adds a record to the file.
func (w *Witness) record(e *Entry) {
	if w.records == nil || w.written >= w.set.RecordsMB<<20 {
		return
	}
	line, err := json.Marshal(e)
	if err == nil {
		var n int
		n, err = w.records.Write(append(line, '\n'))
		w.written += n
	}
	if err != nil { // such as a full disk: the estimates go on without
		log.Printf("event=records_failed error=%q", err)
		w.written = w.set.RecordsMB << 20
	}
}

// now is the time since the start: the ledger counts in it, not in any clock's time of day.
func (w *Witness) now() int64 { return int64(time.Hour) + int64(time.Since(w.epoch)) }

// close ends the window, and sends its summary and what is not confirmed yet.
func (w *Witness) close(now time.Time) {
	for n := len(w.queue); n > 0; n-- { // they ended in this window
		w.fold(<-w.queue)
	}
	w.folder.Miss(int(w.missed.Swap(0)))
	cells, seen, lost := w.folder.Close()
	w.lost += int(lost)
	head := counterfactual.Part{Gateway: uint32(w.seat), Zone: uint8(w.zone), Life: w.life, Window: w.window,
		Length: uint32(w.set.Window), Seen: seen, Lost: lost}
	w.window++
	for i, encode := range counterfactual.Encode(head, cells) {
		if w.ledger != nil {
			if p, err := counterfactual.Decode(encode(0)); err == nil {
				w.ledger.Hear(p, w.now())
			}
		}
		for _, to := range w.set.Collectors {
			if to != w.seat {
				m := &message{name: name{Life: w.life, Window: head.Window, Nth: uint16(i)}, to: to, encode: encode,
					end: now, size: len(encode(0))}
				w.unsent, w.kept = append(w.unsent, m), w.kept+m.size
			}
		}
	}
	w.unsent = slices.DeleteFunc(w.unsent, func(m *message) bool {
		if w.kept <= mostKept && now.Sub(m.end) <= time.Duration(w.set.Grace+w.set.Window)*time.Millisecond {
			return false
		}
		w.kept -= m.size // the oldest go first
		w.gaveUp++
		return true
	})
	for _, m := range w.unsent {
		body := append([]byte{report}, m.encode(uint32(now.Sub(m.end).Milliseconds()))...)
		w.udp.WriteToUDPAddrPort(body, w.set.Peers[m.to])
	}
	w.told(now)
}

// told writes what was dropped into the log, if anything was.
func (w *Witness) told(now time.Time) {
	strange := w.strange.Load()
	if now.Sub(w.lineAt) < lineEach || w.lost+w.gaveUp+int(strange) == 0 {
		return
	}
	w.strange.Add(-strange)
	log.Printf("event=witness_dropped records=%d summaries=%d datagrams=%d", w.lost, w.gaveUp, strange)
	w.lost, w.gaveUp, w.lineAt = 0, 0, now
}

// take merges a part and confirms it, or takes in a confirmation.
func (w *Witness) take(d datagram) {
	if d.ack != nil {
		w.unsent = slices.DeleteFunc(w.unsent, func(m *message) bool {
			if m.to != d.from || m.name != *d.ack {
				return false
			}
			w.kept -= m.size
			return true
		})
		return
	}
	if w.ledger.Hear(d.part, w.now()) {
		n := name{Life: d.part.Life, Window: d.part.Window, Nth: d.part.Nth}
		w.udp.WriteToUDPAddrPort(append([]byte{confirm}, n.encode()...), w.set.Peers[d.from])
	}
}

// read takes datagrams in. Who sent one is known by its address; what is not sound is dropped and counted.
func (w *Witness) read() {
	buf := make([]byte, counterfactual.MaxBytes+2)
	for {
		n, from, err := w.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 { // such as a refusal told of an earlier datagram to a peer that is down
			continue
		}
		d := datagram{from: slices.Index(w.set.Peers, addr(from))}
		switch body := slices.Clone(buf[1:n]); {
		case d.from < 0:
		case buf[0] == report && w.ledger != nil:
			d.part, _ = counterfactual.Decode(body)
		case buf[0] == confirm:
			d.ack = decodeName(body)
		}
		if d.part == nil && d.ack == nil || d.part != nil && int(d.part.Gateway) != d.from {
			w.strange.Add(1)
			continue
		}
		select {
		case w.heard <- d:
		case <-w.over:
			return
		}
	}
}

func (w *Witness) accept() {
	places := make(chan struct{}, askers)
	for {
		c, err := w.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond) // no descriptor is free
			continue
		}
		select {
		case places <- struct{}{}:
			w.go_(func() {
				defer func() { <-places }()
				w.serve(c)
			})
		default:
			c.Close()
		}
	}
}

// serve reads one question, a JSON object in a line, and writes the answers, one a line.
func (w *Witness) serve(c net.Conn) {
	defer c.Close()
	done := make(chan struct{})
	defer close(done)
	go func() { // an end of the program does not wait for who asks
		select {
		case <-w.over:
			c.Close()
		case <-done:
		}
	}()
	c.SetDeadline(time.Now().Add(askWait))
	lines := bufio.NewScanner(c)
	lines.Buffer(make([]byte, 0, 512), mostAsk)
	if !lines.Scan() {
		return
	}
	out := json.NewEncoder(c)
	ask, err := readAsk(lines.Bytes())
	if err != nil {
		out.Encode(map[string]string{"error": err.Error()})
		return
	}
	q := question{ask, make(chan []any, 1)}
	select {
	case w.asked <- q:
	case <-w.over:
		return
	case <-time.After(askWait):
		return
	}
	select {
	case all := <-q.answer:
		c.SetDeadline(time.Now().Add(askWait))
		for _, a := range all {
			if out.Encode(a) != nil {
				return
			}
		}
	case <-w.over:
	}
}
