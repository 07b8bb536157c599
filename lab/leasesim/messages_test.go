package leasesim

import (
	"testing"

	"ravensill/pool"
)

// A report that arrives after a batch was proposed is answered with the next batch: this one may be committed although
// its leader has been deposed since.
func TestGrantAnswersReportOfItsBatch(t *testing.T) {
	terms := newTerms(1, 1, 0)
	grantor := pool.NewGrantor(&terms, 1, pool.NewLedger(&terms))
	grantor.Step(2, &pool.Report{Incarnation: 1, Sent: 10, Weight: 1})
	batch := grantor.Step(3, pool.Tick{})[0].(pool.Propose).Batch
	grantor.Step(4, &pool.Report{Incarnation: 1, Sent: 20, Weight: 1})
	ledger := pool.NewLedger(&terms)
	ledger.Apply(&batch)
	grant := grantor.Step(5, pool.Committed{Ledger: ledger})[0].(*pool.Grant)
	if grant.Sent != 10 {
		t.Errorf("answered the report of %d", grant.Sent)
	}
}

// Changes of an earlier incarnation, repeated ones and ones beyond the capacity do not change the ledger.
func TestLedgerIgnoresOldAndRepeatedChanges(t *testing.T) {
	terms := newTerms(2, 1, 0)
	ledger := pool.NewLedger(&terms)
	ledger.Apply(&pool.Batch{Serial: 1, Capacity: 20})
	for _, change := range []pool.Change{
		{Member: 0, Incarnation: 5},
		{Member: 0, Number: 1, Units: 10},
		{Member: 0, Number: 2, Units: 4}, // returned
		{Member: 0, Number: 2, Units: 0}, // a repeated number
		{Member: 0, Number: 3, Incarnation: 6},
		{Member: 0, Number: 3, Units: 18},
		{Member: 0, Number: 4, Units: 15}, // beyond the capacity
	} {
		ledger.Apply(&pool.Batch{Changes: []pool.Change{change}})
	}
	entry := ledger.Entries[0]
	if entry.Units != 0 || entry.Stranded != 4 || ledger.Free() != 14 {
		t.Fatalf("%+v, %d free", entry, ledger.Free())
	}
}

// Grants to another incarnation and repeated ones do not change what a leaseholder allows, and a lease ends.
func TestLeaseholderIgnoresOldAndRepeatedGrants(t *testing.T) {
	const now = int64(1e9)
	terms := newTerms(2, 1, 0)
	leaseholder := pool.NewLeaseholder(&terms, 0, 6, 1, 1, 20, now)
	leaseholder.Receive(now, &pool.Grant{Incarnation: 5, Number: 9, Units: 9, Sent: now})
	if allowed := leaseholder.Allowed(now); allowed != 1 {
		t.Errorf("%d allowed by a grant to another incarnation", allowed)
	}
	for _, units := range []int{8, 3, 8} {
		leaseholder.Receive(now, &pool.Grant{Incarnation: 6, Number: 4, Units: units, Sent: now})
	}
	if allowed := leaseholder.Allowed(now); allowed != 4 {
		t.Errorf("%d allowed after a recall and an old grant", allowed)
	}
	if allowed := leaseholder.Allowed(now + terms.Lease); allowed != 1 {
		t.Errorf("%d allowed past the lease", allowed)
	}
}
