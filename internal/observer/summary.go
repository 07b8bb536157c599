package observer

import (
	"log/slog"
	"slices"
	"time"

	"ravensill/counterfactual"
)

// maxUnconfirmedBytes bounds the memory of messages that wait for a confirmation.
const maxUnconfirmedBytes = 512 << 10

// message is a part of a summary for one collector, which has not confirmed it yet.
type message struct {
	messageID
	collector int                     // member index
	encode    func(age uint32) []byte // encodes the part; age is in milliseconds since windowEnd
	windowEnd time.Time
	size      int // bytes of the encoded part
}

// endWindow ends the current window and sends its summary, and every other message that is not confirmed, to the
// collectors.
func (o *Observer) endWindow(now time.Time) {
	for range len(o.records) { // the queued attempts ended in this window
		o.addBatch(<-o.records)
	}
	o.summarizer.AddLost(int(o.droppedRecords.Swap(0)))
	o.summarize(now)
	o.abandonExpired(now)
	for _, m := range o.unconfirmed {
		age := uint32(now.Sub(m.windowEnd).Milliseconds())
		body := append([]byte{kindSummary}, m.encode(age)...)
		o.udpConn.WriteToUDPAddrPort(body, o.config.Peers[m.collector])
	}
	o.logDrops(now)
}

// summarize adds the summary of the current window to the unconfirmed messages. A collector merges its own summary at
// once.
func (o *Observer) summarize(now time.Time) {
	cells, attempts, lost := o.summarizer.Flush()
	o.lostRecords += int(lost)
	header := counterfactual.SummaryPart{
		Gateway:      uint32(o.memberIndex),
		Zone:         uint8(o.zone),
		Incarnation:  o.incarnation,
		Window:       o.windowNumber,
		WindowLength: uint32(o.config.Window.Milliseconds()),
		Attempts:     attempts,
		LostRecords:  lost,
	}
	o.windowNumber++
	for i, encode := range counterfactual.Encode(header, cells) {
		o.mergeOwn(encode(0))
		id := messageID{Incarnation: o.incarnation, Window: header.Window, Part: uint16(i)}
		o.queueMessage(id, encode, now)
	}
}

// mergeOwn merges an encoded part of this gateway's own summary if this gateway is a collector.
func (o *Observer) mergeOwn(encoded []byte) {
	if o.ledger == nil {
		return
	}
	part, err := counterfactual.Decode(encoded)
	if err == nil {
		o.ledger.Receive(part, o.ledgerTime())
	}
}

// queueMessage adds an unconfirmed message for each collector other than this gateway.
func (o *Observer) queueMessage(id messageID, encode func(age uint32) []byte, windowEnd time.Time) {
	size := len(encode(0))
	for _, collector := range o.config.Collectors {
		if collector == o.memberIndex {
			continue
		}
		o.unconfirmed = append(o.unconfirmed, &message{
			messageID: id,
			collector: collector,
			encode:    encode,
			windowEnd: windowEnd,
			size:      size,
		})
		o.unconfirmedBytes += size
	}
}

// abandonExpired drops unconfirmed messages that are so old that a collector would ignore them, and the oldest ones
// while all together exceed maxUnconfirmedBytes.
func (o *Observer) abandonExpired(now time.Time) {
	maxAge := o.config.Grace + o.config.Window
	o.unconfirmed = slices.DeleteFunc(o.unconfirmed, func(m *message) bool {
		if o.unconfirmedBytes <= maxUnconfirmedBytes && now.Sub(m.windowEnd) <= maxAge {
			return false
		}
		o.unconfirmedBytes -= m.size
		o.abandonedMessages++
		return true
	})
}

// logDrops logs the numbers of records, summary messages and datagrams that were dropped since the latest log line,
// unless they are 0 or that line is more recent than logInterval.
func (o *Observer) logDrops(now time.Time) {
	rejected := o.rejectedDatagrams.Load()
	dropped := o.lostRecords + o.abandonedMessages + int(rejected)
	if dropped == 0 || now.Sub(o.lastDropLog) < logInterval {
		return
	}
	o.rejectedDatagrams.Add(-rejected)
	slog.Warn("observer_dropped", "records", o.lostRecords, "summaries", o.abandonedMessages, "datagrams", rejected)
	o.lostRecords = 0
	o.abandonedMessages = 0
	o.lastDropLog = now
}

// handleDatagram handles a confirmation, or merges a part of a summary and confirms it. It does not confirm a part for
// which the ledger has no capacity, so that the gateway sends it again.
func (o *Observer) handleDatagram(d datagram) {
	if d.confirmed != nil {
		o.removeConfirmed(d.sender, *d.confirmed)
		return
	}
	if !o.ledger.Receive(d.part, o.ledgerTime()) {
		return
	}
	id := messageID{Incarnation: d.part.Incarnation, Window: d.part.Window, Part: d.part.Index}
	confirmation := append([]byte{kindConfirmation}, id.encode()...)
	o.udpConn.WriteToUDPAddrPort(confirmation, o.config.Peers[d.sender])
}

// removeConfirmed removes the message with an id that a collector has confirmed from the unconfirmed ones.
func (o *Observer) removeConfirmed(collector int, id messageID) {
	o.unconfirmed = slices.DeleteFunc(o.unconfirmed, func(m *message) bool {
		if m.collector != collector || m.messageID != id {
			return false
		}
		o.unconfirmedBytes -= m.size
		return true
	})
}
