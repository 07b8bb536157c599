package observer

import (
	"log/slog"
	"slices"
	"time"

	"ravensill/counterfactual"
)

// maxUnconfirmedBytes bounds the messages that wait for a confirmation.
const maxUnconfirmedBytes = 512 << 10

// message is a part of a summary that one collector has not confirmed.
type message struct {
	messageName
	collector int                     // member index
	encode    func(age uint32) []byte // age in milliseconds since windowEnd
	windowEnd time.Time
	size      int // bytes
}

// closeWindow ends the current window, and sends its summary with all other unconfirmed messages.
func (o *Observer) closeWindow(now time.Time) {
	for range len(o.records) { // batches of attempts that ended in this window
		o.fold(<-o.records)
	}
	o.folder.AddLost(int(o.queueDrops.Swap(0)))
	o.summarize(now)
	o.abandonOld(now)
	for _, m := range o.unconfirmed {
		age := uint32(now.Sub(m.windowEnd).Milliseconds())
		body := append([]byte{kindSummary}, m.encode(age)...)
		o.udp.WriteToUDPAddrPort(body, o.config.Peers[m.collector])
	}
	o.logDrops(now)
}

// summarize queues the current window's summary for the collectors, and merges it if this gateway is one.
func (o *Observer) summarize(now time.Time) {
	cells, attempts, lost := o.folder.Flush()
	o.lostRecords += int(lost)
	head := counterfactual.SummaryPart{
		Gateway:      uint32(o.member),
		Zone:         uint8(o.zone),
		Incarnation:  o.incarnation,
		Window:       o.window,
		WindowLength: uint32(o.config.Window.Milliseconds()),
		Attempts:     attempts,
		LostRecords:  lost,
	}
	o.window++
	for i, encode := range counterfactual.Encode(head, cells) {
		o.mergeOwn(encode(0))
		name := messageName{Incarnation: o.incarnation, Window: head.Window, Part: uint16(i)}
		o.queueMessage(name, encode, now)
	}
}

// mergeOwn merges a message of this gateway if it is a collector.
func (o *Observer) mergeOwn(encoded []byte) {
	if o.ledger == nil {
		return
	}
	part, err := counterfactual.Decode(encoded)
	if err == nil {
		o.ledger.Receive(part, o.now())
	}
}

// queueMessage adds a message for each other collector.
func (o *Observer) queueMessage(name messageName, encode func(age uint32) []byte, windowEnd time.Time) {
	size := len(encode(0))
	for _, collector := range o.config.Collectors {
		if collector == o.member {
			continue
		}
		o.unconfirmed = append(o.unconfirmed, &message{
			messageName: name,
			collector:   collector,
			encode:      encode,
			windowEnd:   windowEnd,
			size:        size,
		})
		o.unconfirmedBytes += size
	}
}

// abandonOld drops messages that are too old to count at a collector, and the oldest ones while there are too many.
func (o *Observer) abandonOld(now time.Time) {
	maxAge := o.config.Grace + o.config.Window
	o.unconfirmed = slices.DeleteFunc(o.unconfirmed, func(m *message) bool {
		if o.unconfirmedBytes <= maxUnconfirmedBytes && now.Sub(m.windowEnd) <= maxAge {
			return false
		}
		o.unconfirmedBytes -= m.size
		o.abandoned++
		return true
	})
}

// logDrops logs the records and messages that were dropped since the latest line, if any.
func (o *Observer) logDrops(now time.Time) {
	malformed := o.malformed.Load()
	dropped := o.lostRecords + o.abandoned + int(malformed)
	if dropped == 0 || now.Sub(o.loggedAt) < logInterval {
		return
	}
	o.malformed.Add(-malformed)
	slog.Warn("observer_dropped", "records", o.lostRecords, "summaries", o.abandoned, "datagrams", malformed)
	o.lostRecords = 0
	o.abandoned = 0
	o.loggedAt = now
}

// receive merges a part of a summary and confirms it, or handles a confirmation.
func (o *Observer) receive(d datagram) {
	if d.confirmation != nil {
		o.confirm(d.sender, *d.confirmation)
		return
	}
	if !o.ledger.Receive(d.part, o.now()) {
		return
	}
	name := messageName{Incarnation: d.part.Incarnation, Window: d.part.Window, Part: d.part.Index}
	confirmation := append([]byte{kindConfirmation}, name.encode()...)
	o.udp.WriteToUDPAddrPort(confirmation, o.config.Peers[d.sender])
}

// confirm removes a message that its collector has confirmed.
func (o *Observer) confirm(collector int, name messageName) {
	o.unconfirmed = slices.DeleteFunc(o.unconfirmed, func(m *message) bool {
		if m.collector != collector || m.messageName != name {
			return false
		}
		o.unconfirmedBytes -= m.size
		return true
	})
}
