package leasesim

import (
	"testing"

	"ravensill/pool"
)

// A report that arrives after a batch was proposed is answered with the next batch: this one may be committed although
// its leader has been deposed since.
func TestGrantorAnswersReportsOfCommittedBatchOnly(t *testing.T) {
	terms := newTerms(1, 1, 0)
	grantor := pool.NewGrantor(&terms, 1, pool.NewLedger(&terms))
	grantor.Receive(2, &pool.Report{Incarnation: 1, Sent: 10, Weight: 1})
	batch, _ := grantor.Tick(3)
	grantor.Receive(4, &pool.Report{Incarnation: 1, Sent: 20, Weight: 1})
	ledger := pool.NewLedger(&terms)
	ledger.Apply(batch)
	if grant := grantor.Committed(ledger)[0]; grant.Sent != 10 {
		t.Errorf("answered the report sent at %d", grant.Sent)
	}
}

func TestLedgerIgnoresRepeatedAndOversizedChanges(t *testing.T) {
	terms := newTerms(2, 1, 0)
	ledger := pool.NewLedger(&terms)
	ledger.Apply(&pool.Batch{Serial: 1, Capacity: 20})
	for _, change := range []pool.Change{
		{Member: 0, Incarnation: 5},
		{Member: 0, Number: 1, Units: 10},
		{Member: 0, Number: 2, Units: 4}, // units returned
		{Member: 0, Number: 2, Units: 0}, // the same number again
		{Member: 0, Number: 3, Incarnation: 6},
		{Member: 0, Number: 3, Units: 18},
		{Member: 0, Number: 4, Units: 15}, // more than are free
	} {
		ledger.Apply(&pool.Batch{Changes: []pool.Change{change}})
	}
	entry := ledger.Entries[0]
	if entry.Units != 0 || entry.Stranded != 4 || ledger.Free() != 14 {
		t.Fatalf("%+v, %d free", entry, ledger.Free())
	}
}

func TestLeaseholderIgnoresGrantsOfOtherIncarnationAndRepeatedOnes(t *testing.T) {
	terms := newTerms(2, 1, 0)
	now := pool.Instant(1e9)
	holder := pool.NewLeaseholder(&terms, 0, 6, 1, 1, 20, now)
	holder.Receive(now, &pool.Grant{Incarnation: 5, Number: 9, Units: 9, Sent: now})
	if allowed := holder.Allowed(now); allowed != 1 {
		t.Errorf("%d allowed by a grant to another incarnation", allowed)
	}
	holder.Receive(now, &pool.Grant{Incarnation: 6, Number: 4, Units: 8, Sent: now})
	holder.Receive(now, &pool.Grant{Incarnation: 6, Number: 4, Units: 3, Sent: now})
	holder.Receive(now, &pool.Grant{Incarnation: 6, Number: 4, Units: 8, Sent: now})
	if allowed := holder.Allowed(now); allowed != 4 {
		t.Errorf("%d allowed after a recall and an old grant", allowed)
	}
	if allowed := holder.Allowed(now.Add(terms.Lease)); allowed != 1 {
		t.Errorf("%d allowed past the lease", allowed)
	}
}
