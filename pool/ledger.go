// Package pool divides the connections that a shared store accepts among the gateways by leases. It does no I/O and
// reads no clock: callers pass in messages and the time of their monotonic clock, and send the messages that it
// returns. One unit is one connection above a gateway's floor, the number of connections that it may have without a
// lease.
//
// Each gateway has a Leaseholder, which computes how many connections the gateway may have. The Ledger records the
// units leased to all gateways. Some of the gateways, the raft voters, replicate it. On the voter that is the leader,
// the Grantor decides on changes of leases.
//
// That the gateways together stay within the capacity of the store does not depend on the delivery of any message. It
// follows from three facts: floors are always reserved, the ledger rejects a change that would lease more than the
// remaining units, and a lease (Gray and Cheriton, SOSP 1989) expires at its holder before the grantor counts it as
// expired. The last one requires that clocks drift by no more than Terms.Drift.
package pool

import (
	"slices"
	"time"

	"ravensill/internal/clock"
)

// Instant is a time by the monotonic clock of one lease holder or grantor. Instants of different clocks must not be
// compared. 0 means no time.
type Instant = clock.Instant

// Terms are the settings of the leases. All gateways that share a store must have the same.
type Terms struct {
	Members        int           // number of gateways
	Floor          int           // connections that each gateway may have without a lease
	Reserve        int           // connections of the store that are never leased
	Lease          time.Duration // time from sending a report until the lease in the grant that answers it expires
	Drain          time.Duration // longest time that a request uses a connection after its lease has expired
	Drift          float64       // a clock runs at 1-Drift to 1+Drift times the true rate
	TargetHold     time.Duration // least time between two changes of the units that a gateway should have
	ReportInterval time.Duration // time between two reports of a gateway
	CloseDelay     time.Duration // time from closing a connection until the store has certainly noticed it
}

// WithDriftMargin returns a duration by the grantor's clock in which at least d passes by any lease holder's clock,
// even if the grantor's clock is the fastest and the holder's the slowest that Drift allows.
func (t *Terms) WithDriftMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.Drift)/(1-t.Drift)) + 1
}

// Entry records the units leased to one gateway. Its JSON keys are those of earlier releases, because the snapshots of
// the voters contain it.
type Entry struct {
	Incarnation uint64 `json:"Life"` // of the gateway's process to which Units are leased
	Number      uint64 // number of changes so far, which identifies the state of the entry
	Units       int    // leased connections above the floor
	Stranded    int    // units of earlier incarnations that were not returned and whose leases may not have expired
}

// Ledger records the units leased to all gateways. Only Apply changes it, with the same result at all voters.
type Ledger struct {
	Capacity int     // connections that the store accepts
	Serial   uint64  // serial of Capacity, which only a capacity with a higher serial replaces
	Entries  []Entry // by member index
	Reserve  int     // connections that are never leased
	Floor    int     // connections that each gateway may have without a lease
}

// Change is a change of one ledger entry. It applies only if the entry still has the Number for which the change was
// made. Its JSON keys are those of earlier releases, because the logs of the voters contain it.
type Change struct {
	Member int    `json:"Seat"` // member index
	Number uint64 // Entry.Number before the change

	// Incarnation, if higher than that of the entry, replaces it: the units of the previous incarnation become stranded,
	// and the new one has none. Units and Clear are ignored then.
	Incarnation uint64 `json:"Life,omitempty"`

	Units int  // Entry.Units after the change; ignored with Clear
	Clear bool `json:",omitempty"` // the entry's stranded units become free
}

// Batch is an entry of the voters' replicated log: a new capacity, changes of ledger entries, both, or neither.
type Batch struct {
	Serial   uint64   `json:",omitempty"` // if higher than that of the ledger, Capacity replaces the ledger's capacity
	Capacity int      `json:",omitempty"` // connections that the store accepts
	Changes  []Change `json:",omitempty"` // applied in order, after the capacity
}

// NewLedger returns a ledger without leases. Its capacity and serial are 0, so nothing can be leased until a batch sets
// the capacity.
func NewLedger(terms *Terms) *Ledger {
	return &Ledger{Entries: make([]Entry, terms.Members), Reserve: terms.Reserve, Floor: terms.Floor}
}

// Free returns the number of units that can still be leased. It may be negative after the capacity has been lowered.
func (l *Ledger) Free() int {
	free := l.Capacity - l.Reserve - l.Floor*len(l.Entries)
	for _, entry := range l.Entries {
		free -= entry.Units + entry.Stranded
	}
	return free
}

// Apply applies a batch. It skips invalid changes, changes that were made for an older state of an entry, and changes
// that would lease more than the free units, so that even a faulty grantor can't lease more than the capacity.
func (l *Ledger) Apply(batch *Batch) {
	if batch.Serial > l.Serial && batch.Capacity >= 0 {
		l.Serial = batch.Serial
		l.Capacity = batch.Capacity
	}
	free := l.Free()
	for _, change := range batch.Changes {
		if change.Member < 0 || change.Member >= len(l.Entries) || change.Units < 0 {
			continue
		}
		entry := &l.Entries[change.Member]
		if change.Number != entry.Number {
			continue
		}
		switch {
		case change.Incarnation > entry.Incarnation:
			entry.Stranded += entry.Units
			entry.Units = 0
			entry.Incarnation = change.Incarnation
		case change.Clear:
			free += entry.Stranded
			entry.Stranded = 0
		case change.Units > entry.Units && change.Units-entry.Units > free:
			continue
		default:
			free -= change.Units - entry.Units
			entry.Units = change.Units
		}
		entry.Number++
	}
}

// Clone returns a copy of the ledger that shares no entries with it.
func (l *Ledger) Clone() *Ledger {
	clone := *l
	clone.Entries = slices.Clone(l.Entries)
	return &clone
}
