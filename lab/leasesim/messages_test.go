package leasesim

import (
	"testing"

	"ravensill/pool"
)

// A report that arrives after a batch was proposed is answered with the next batch only. The proposed batch may be
// committed although its leader has been deposed since, and so must not confirm later reports.
func TestGrantorAnswersReportsOfCommittedBatchOnly(t *testing.T) {
	terms := newTerms(1, 1, 0)
	grantor := pool.NewGrantor(&terms, 1, pool.NewLedger(&terms))
	grantor.Receive(2, &pool.Report{Incarnation: 1, Sent: 10, Weight: 1})
	batch, _ := grantor.Tick(3)
	grantor.Receive(4, &pool.Report{Incarnation: 1, Sent: 20, Weight: 1})
	ledger := pool.NewLedger(&terms)
	ledger.Apply(batch)
	if grant := grantor.Committed(ledger)[0]; grant.Sent != 10 {
		t.Errorf("grant answers the report sent at %d, want 10", grant.Sent)
	}
}

func TestLedgerIgnoresRepeatedAndOversizedChanges(t *testing.T) {
	terms := newTerms(2, 1, 0)
	ledger := pool.NewLedger(&terms)
	ledger.Apply(&pool.Batch{Serial: 1, Capacity: 20})
	for _, change := range []pool.Change{
		{Member: 0, Incarnation: 5},
		{Member: 0, Number: 1, Units: 10},
		{Member: 0, Number: 2, Units: 4}, // returns units
		{Member: 0, Number: 2, Units: 0}, // repeats a number
		{Member: 0, Number: 3, Incarnation: 6},
		{Member: 0, Number: 3, Units: 18},
		{Member: 0, Number: 4, Units: 15}, // more than are free
	} {
		ledger.Apply(&pool.Batch{Changes: []pool.Change{change}})
	}
	entry := ledger.Entries[0]
	if entry.Units != 0 || entry.Stranded != 4 || ledger.Free() != 14 {
		t.Fatalf("entry %+v, %d units free; want 0 units, 4 stranded, 14 free", entry, ledger.Free())
	}
}

func TestLeaseholderIgnoresGrantsOfOtherIncarnationAndRepeatedOnes(t *testing.T) {
	terms := newTerms(2, 1, 0)
	now := pool.Instant(1e9)
	holder := pool.NewLeaseholder(&terms, 0, 6, 1, 1, 20, now)
	holder.Receive(now, &pool.Grant{Incarnation: 5, Number: 9, Units: 9, Sent: now})
	if allowed := holder.Allowed(now); allowed != 1 {
		t.Errorf("%d connections allowed after a grant to another incarnation, want 1", allowed)
	}
	holder.Receive(now, &pool.Grant{Incarnation: 6, Number: 4, Units: 8, Sent: now})
	holder.Receive(now, &pool.Grant{Incarnation: 6, Number: 4, Units: 3, Sent: now})
	holder.Receive(now, &pool.Grant{Incarnation: 6, Number: 4, Units: 8, Sent: now})
	if allowed := holder.Allowed(now); allowed != 4 {
		t.Errorf("%d connections allowed after a recall and a repeated grant, want 4", allowed)
	}
	if allowed := holder.Allowed(now.Add(terms.Lease)); allowed != 1 {
		t.Errorf("%d connections allowed after the lease has expired, want 1", allowed)
	}
}
