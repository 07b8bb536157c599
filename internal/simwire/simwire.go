// Package simwire speaks the simulator's wire: it turns lines into rounds of package gateway and decisions
// into lines. Wire names end here; it decides nothing.
package simwire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"ravensill/gateway"
	"ravensill/internal/config"
)

const us = 1000 // nanoseconds

// Decider is one gateway's decisions.
type Decider interface {
	Decide(in *gateway.Batch, out gateway.Actions)
}

// Start begins a gateway that knows nothing but its settings.
type Start func(seed uint64, seat gateway.Membership, fronts []gateway.RequestClass, plans []gateway.Plan,
	limits gateway.Limits, cold gateway.SlowStart, report gateway.LoadReportForm) Decider

// instance is one hosted gateway; round is nil while it has no event in the batch.
type instance struct {
	decider              Decider
	round                *gateway.Batch
	fronts, plans, seats int // how many there are
	even                 bool
}

type host struct {
	in     *bufio.Reader
	out    *bufio.Writer
	start  Start
	line   int
	clock  int64
	batch  bool
	seats  map[int]*instance
	order  []int // instances with events in this batch
	sheets [16][]gateway.Endpoint
	id     int // of the latest ON, -1 before one
	f      fields
}

// Serve hosts gateways until in ends. A malformed line ends it with an error that names line and field.
func Serve(in io.Reader, out io.Writer, start Start) (err error) {
	h := &host{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<20), start: start,
		seats: map[int]*instance{}, id: -1}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("line %d: panic: %v", h.line, p)
		}
		if err != nil && h.batch && h.id >= 0 {
			fmt.Fprintf(h.out, "SPEAKING %d\nFAULT %s\nYIELD\n", h.id, strings.ReplaceAll(err.Error(), "\n", " "))
		}
		err = errors.Join(err, h.out.Flush())
	}()
	for {
		text, rerr := h.in.ReadString('\n')
		if rerr == io.EOF && text == "" {
			if h.batch {
				return errors.New("input ended within a batch")
			}
			return nil
		}
		if rerr != nil && rerr != io.EOF {
			return rerr
		}
		h.line++
		text = strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r")
		if err := h.take(text); err != nil {
			return fmt.Errorf("line %d: %w", h.line, err)
		}
	}
}

// take handles one line.
func (h *host) take(text string) error {
	word, rest, _ := strings.Cut(text, " ")
	f := &h.f
	f.begin(word, rest)
	if word == "MARK" {
		if h.batch {
			return errors.New("MARK within a batch")
		}
		now := f.time("clock")
		if f.end() == nil && now < h.clock {
			return errors.New("MARK: clock: runs back")
		}
		h.batch, h.clock, h.id = true, now, -1
		return f.end()
	}
	if !h.batch {
		return fmt.Errorf("%.40q outside a batch", word)
	}
	switch word {
	case "ON":
		h.id = f.whole("i", math.MaxInt32)
		return f.end()
	case "INVENTORY":
		return h.inventory(f)
	case "YOUR_TURN":
		if err := f.end(); err != nil {
			return err
		}
		return h.reply()
	}
	if h.id < 0 {
		return fmt.Errorf("%.40q before any ON", word)
	}
	if word == "POWER_ON" {
		seed := f.number("init_seed")
		env := f.tail("env")
		if err := f.end(); err != nil {
			return err
		}
		s, err := config.Decode(env)
		if err != nil {
			return fmt.Errorf("POWER_ON: env: %w", err)
		}
		h.seats[h.id] = &instance{decider: h.start(seed, s.Membership, s.Classes, s.Plans, s.Limits, s.SlowStart, s.LoadReport),
			fronts: len(s.Classes), plans: len(s.Plans), seats: s.Membership.Count, even: s.Even}
		h.round()
		return nil
	}
	seat := h.seats[h.id]
	if seat == nil {
		return fmt.Errorf("%.40q for instance %d, which is not on", word, h.id)
	}
	e := gateway.Event{}
	switch word {
	case "KILL":
		delete(h.seats, h.id)
		return f.end()
	case "ARRIVAL":
		e.Kind, e.RequestID = gateway.RequestArrived, f.text("xid")
		e.Class, e.Plan = f.whole("type", seat.fronts-1), f.whole("grade_of_service", seat.plans-1)
		e.Customer, e.Deadline, e.Units = f.text("account"), f.instant("deadline_us"), f.decimal("weight")
		e.Spread, e.FirstGateway = f.whole("n_entries", seat.seats), f.whole("first", seat.seats-1)
		e.Retry = f.whole("bits", math.MaxInt32)&2 != 0
	case "ATTEMPT_END":
		e.Kind, e.RequestID, e.Closed = gateway.AttemptEnded, f.text("xid"), f.yes("closed")
		e.Host, e.Units = uint32(f.whole("host", math.MaxUint32)), f.decimal("billed")
		e.Result, e.Latency = f.result("disposition"), f.duration("lag_us")
		e.Usage, e.Attempt = f.whole("metered", math.MaxInt32), f.whole("send_no", math.MaxInt32)
		e.LoadReport = f.row("pressure")
	case "FIRST":
		e.Kind, e.RequestID, e.Attempt = gateway.StreamStarted, f.text("xid"), f.whole("send_no", math.MaxInt32)
		e.Latency, e.Host = f.duration("lag_us"), uint32(f.whole("host", math.MaxUint32))
	case "CLIENT_GONE":
		e.Kind, e.RequestID = gateway.ClientGone, f.text("xid")
	case "FROM_PEER":
		e.Kind, e.Peer, e.Message = gateway.GossipReceived, f.whole("sender", seat.seats-1), f.bytes("contents")
	case "ECHO":
		e.Kind, e.Host = gateway.ProbeEnded, uint32(f.whole("host", math.MaxUint32))
		e.Latency, e.Result, e.LoadReport = f.duration("lag_us"), f.result("disposition"), f.row("pressure")
	case "TIMER":
		f.number("nonce")
		e.Kind = gateway.TimerFired
	case "COUNTER_REPLY":
		e.Kind, e.Result, e.CounterName = gateway.CounterReplied, f.result("disposition"), f.number("name")
		e.CounterTotal, e.Latency = f.signed("total"), f.duration("lag_us")
	case "ANNOUNCE":
		e.Kind = gateway.EndpointsListed
		e.ListKind = gateway.ListKind(f.choice("kind", "incr", "total", "warm_copy", "lost"))
		sheet := f.text("sheet")
		f.text("gen")
		if n, err := strconv.Atoi(sheet); err == nil && n >= 0 && n < len(h.sheets) {
			e.Endpoints = h.sheets[n]
		} else if e.ListKind != gateway.ListUnavailable {
			return fmt.Errorf("ANNOUNCE: sheet: %.40q is no list number", sheet)
		}
		if e.ListKind == gateway.ListUnavailable {
			e.Endpoints = nil
		}
		if seat.even { // a sheet is every instance's
			e.Endpoints = slices.Clone(e.Endpoints)
			for i := range e.Endpoints {
				e.Endpoints[i].Weight = 1
			}
		}
	default:
		return fmt.Errorf("unknown message %.40q", word)
	}
	if err := f.end(); err != nil {
		return err
	}
	r := h.round()
	r.Events = append(r.Events, e)
	return nil
}

// round gives the present instance's round, begun with its first event in the batch.
func (h *host) round() *gateway.Batch {
	seat := h.seats[h.id]
	if seat.round == nil {
		seat.round = &gateway.Batch{Now: gateway.Time(h.clock)}
		h.order = append(h.order, h.id)
	}
	return seat.round
}

func (h *host) inventory(f *fields) error {
	n, count := f.whole("sheet", len(h.sheets)-1), f.whole("hosts", math.MaxInt32)
	if err := f.end(); err != nil {
		return err
	}
	var list []gateway.Endpoint
	for ; count > 0; count-- {
		text, err := h.in.ReadString('\n')
		if err != nil {
			return fmt.Errorf("INVENTORY: hosts: list cut short: %w", err)
		}
		h.line++
		word, rest, _ := strings.Cut(strings.TrimSpace(text), " ")
		if word != "M" {
			return fmt.Errorf("INVENTORY: hosts: M wanted, not %.40q", word)
		}
		f.begin(word, rest)
		l := gateway.Endpoint{Host: uint32(f.whole("host", math.MaxUint32)), Zone: f.whole("az", math.MaxInt32),
			Machine: f.whole("class_of_host", math.MaxInt32), Cell: f.whole("pod", math.MaxInt32)}
		l.State = gateway.EndpointState(f.choice("status", "Running", "Stopping", "Deleted"))
		l.Weight, l.StartedAt = f.decimal("share"), f.instant("since_us")
		if err := f.end(); err != nil {
			return err
		}
		list = append(list, l)
	}
	h.sheets[n] = list
	return nil
}

// reply lets every instance with an event decide, and ends the batch.
func (h *host) reply() error {
	for _, id := range h.order {
		seat := h.seats[id]
		if seat == nil || seat.round == nil {
			continue
		}
		h.id = id
		w := writer{h.out, id, false}
		seat.decider.Decide(seat.round, &w)
		seat.round = nil
	}
	h.order, h.batch = h.order[:0], false
	h.out.WriteString("YIELD\n")
	return h.out.Flush()
}

// writer writes one instance's decisions as lines.
type writer struct {
	out  *bufio.Writer
	id   int
	said bool
}

func (w *writer) line(format string, args ...any) {
	if !w.said {
		fmt.Fprintf(w.out, "SPEAKING %d\n", w.id)
		w.said = true
	}
	fmt.Fprintf(w.out, format+"\n", args...)
}

func (w *writer) StartAttempt(req string, host uint32, timeout time.Duration) {
	w.line("PLACE %s %d %d", req, host, timeout.Microseconds())
}
func (w *writer) CancelAttempt(req string, dispatch int) { w.line("CANCEL %s %d", req, dispatch) }
func (w *writer) Reject(req string, after time.Duration) {
	w.line("BOUNCE %s %d", req, after.Microseconds())
}
func (w *writer) Fail(req string)              { w.line("GIVE_UP %s", req) }
func (w *writer) SendProbe(host uint32)        { w.line("TEST %d", host) }
func (w *writer) SetTimer(after time.Duration) { w.line("SCHEDULE %d 0", after.Microseconds()) }
func (w *writer) WatchEndpoints()              { w.line("WATCH 1") }
func (w *writer) AddToCounter(name uint64, amount float64, life time.Duration) {
	w.line("INCR %d %s %d", life.Microseconds(), strconv.FormatFloat(amount, 'g', -1, 64), name)
}
func (w *writer) LogNote(text string) { w.line("NOTE_DOWN %s", text) }
func (w *writer) SendGossip(peer int, body []byte) {
	w.line("PUBLISH %d %s", peer, base64.StdEncoding.EncodeToString(body))
}
