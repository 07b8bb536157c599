// Package pool negotiates how many connections each gateway may hold to one store that accepts only so many in all. It does no I/O
// and has no clock: each part is given messages and times (int64 nanoseconds of its own monotonic clock) and returns what to send.
// A Leaseholder keeps one gateway to its quota; the Ledger is what is lent, agreed on by a few gateways (the raft voters); the
// Grantor decides for the voter that leads.
//
// Safety rests on three sums and on no message. Floors are always set aside, the ledger refuses whatever would lend more than the
// rest, and a lease (Gray and Cheriton, SOSP 1989: a promise that ends by itself) ends at its holder before the grantor counts it
// as ended.
package pool

// Terms are what all gateways that share a store agree on.
type Terms struct {
	Members        int     // number of gateways
	Floor          int     // connections that each may hold without a lease
	Reserve        int     // connections of the store that are never lent
	Lease          int64   // ns that a lease holds from when its holder asked
	Drain          int64   // ns that a request may be open at most after its lease has ended
	Drift          float64 // the rate of a clock is within 1-Drift and 1+Drift
	TargetHold     int64   // ns between two changes of a gateway's target at least
	ReportInterval int64   // ns between two reports of a gateway
	CloseDelay     int64   // ns from a connection's end here until the store has surely seen it
}

// Outlasts returns how long a lease grantor waits until a duration is surely over by a lease holder's clock: the holder's may be the
// slowest, its own the fastest allowed.
func (t *Terms) Outlasts(d int64) int64 { return int64(float64(d)*(1+t.Drift)/(1-t.Drift)) + 1 }

// Entry is what one gateway was lent above its floor. Its JSON form, with the names of earlier releases, is in the voters' snapshots.
type Entry struct {
	Incarnation uint64 `json:"Life"` // incarnation of the process that holds Units
	Number      uint64 // of the last change; it never decreases
	Units       int
	Stranded    int // units of earlier incarnations, not given back
}

// Ledger is what is lent to whom. It changes by Apply only, equally at all voters.
type Ledger struct {
	Capacity int     // connections that the store accepts
	Serial   uint64  // of the capacity
	Entries  []Entry // by member index
	Reserve  int
	Floor    int
}

// Change is one change of an entry. It applies only if the entry still has the number by which it was decided. Its JSON form,
// with the names of earlier releases, is in the voters' logs.
type Change struct {
	Member      int `json:"Seat"` // member index
	Number      uint64
	Incarnation uint64 `json:"Life,omitempty"` // above the entry's: a new incarnation; the units of the old one are stranded
	Units       int    // from now on
	Clear       bool   `json:",omitempty"` // stranded units are free again
}

// Batch is what is committed at one time, in order. A Serial above the ledger's sets the capacity.
type Batch struct {
	Serial   uint64   `json:",omitempty"`
	Capacity int      `json:",omitempty"`
	Changes  []Change `json:",omitempty"`
}

// NewLedger returns a ledger with nothing lent. Its serial and capacity are 0, so that nothing can be lent until they are set.
func NewLedger(terms *Terms) *Ledger {
	return &Ledger{Entries: make([]Entry, terms.Members), Reserve: terms.Reserve, Floor: terms.Floor}
}

// Free returns the units that may still be lent; it is below 0 after the capacity was lowered.
func (l *Ledger) Free() int {
	free := l.Capacity - l.Reserve - l.Floor*len(l.Entries)
	for _, entry := range l.Entries {
		free -= entry.Units + entry.Stranded
	}
	return free
}

// Apply applies a batch. Changes decided by an older state of an entry, or that would lend more than is free, are skipped, so that
// no fault of a lease grantor lends more than there is.
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

// Clone returns a copy that shares nothing.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.Entries = append([]Entry(nil), l.Entries...)
	return &c
}
