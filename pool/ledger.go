// Package pool divides the connections that one store accepts among the gateways, by leases. It does no I/O and reads
// no clock: its parts get messages and the time of their own monotonic clock, and return what to send. A Leaseholder
// keeps one gateway to its quota. The Ledger has all leases, and is replicated by some of the gateways, the raft
// voters. The Grantor decides about leases for the voter that leads.
//
// Safety depends on three sums and on no message. Floors are always reserved, the ledger refuses a change that would
// lease more than the rest, and a lease (Gray and Cheriton, SOSP 1989) expires at its holder before the grantor
// counts it as expired.
package pool

import (
	"slices"
	"time"

	"ravensill/internal/clock"
)

// Instant is a moment of the monotonic clock of one lease holder or grantor. Instants of different clocks can't be
// compared.
type Instant = clock.Instant

// Terms are the settings that all gateways of a store have in common.
type Terms struct {
	Members        int           // number of gateways
	Floor          int           // connections that each gateway may have without a lease
	Reserve        int           // connections of the store that are never leased
	Lease          time.Duration // of a lease, from the time of the report that it answers
	Drain          time.Duration // longest time that a request uses a connection after its lease has expired
	Drift          float64       // the rate of a clock is within 1-Drift and 1+Drift
	TargetHold     time.Duration // least time between two changes of a gateway's target
	ReportInterval time.Duration // between two reports of a gateway
	CloseDelay     time.Duration // from closing a connection until the store has noticed it for certain
}

// WithDriftMargin returns the time by a grantor's clock after which d has passed by a lease holder's clock for certain: the
// holder's clock may be the slowest and the grantor's the fastest allowed.
func (t *Terms) WithDriftMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.Drift)/(1-t.Drift)) + 1
}

// Entry has the units leased to one gateway, connections above its floor. Its JSON form, with the names of earlier
// releases, is in the voters' snapshots.
type Entry struct {
	Incarnation uint64 `json:"Life"` // of the process that has Units
	Number      uint64 // of the latest change; it never decreases
	Units       int
	Stranded    int // units of earlier incarnations that were not returned
}

// Ledger has the leases of all gateways. Only Apply changes it, in the same way at all voters.
type Ledger struct {
	Capacity int     // connections that the store accepts
	Serial   uint64  // of the capacity
	Entries  []Entry // by member index
	Reserve  int
	Floor    int
}

// Change is a change of one entry. It applies only if the entry still has the number for which the change was made.
// Its JSON form, with the names of earlier releases, is in the voters' logs.
type Change struct {
	Member int    `json:"Seat"` // member index
	Number uint64 // of the entry

	// Incarnation above that of the entry starts a new incarnation, and the units of the one before are stranded.
	Incarnation uint64 `json:"Life,omitempty"`

	Units int  // of the entry after the change
	Clear bool `json:",omitempty"` // stranded units become free
}

// Batch is an entry of the replicated log: changes that are applied in order. A Serial above that of the ledger sets
// the capacity.
type Batch struct {
	Serial   uint64   `json:",omitempty"`
	Capacity int      `json:",omitempty"`
	Changes  []Change `json:",omitempty"`
}

// NewLedger returns a ledger without leases. Its serial and capacity are 0, so that nothing can be leased until they
// are set.
func NewLedger(terms *Terms) *Ledger {
	return &Ledger{Entries: make([]Entry, terms.Members), Reserve: terms.Reserve, Floor: terms.Floor}
}

// Free returns the number of units that can still be leased. It may be negative after the capacity was lowered.
func (l *Ledger) Free() int {
	free := l.Capacity - l.Reserve - l.Floor*len(l.Entries)
	for _, entry := range l.Entries {
		free -= entry.Units + entry.Stranded
	}
	return free
}

// Apply applies a batch. It skips changes for an older state of an entry and those that would lease more than is
// free, so that no fault of a grantor leases more than the capacity.
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

// Clone returns a deep copy.
func (l *Ledger) Clone() *Ledger {
	clone := *l
	clone.Entries = slices.Clone(l.Entries)
	return &clone
}
