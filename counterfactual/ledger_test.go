package counterfactual

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ravensill/internal/clock"
)

// afterSeconds returns an instant of a ledger's clock.
func afterSeconds(seconds int) clock.Instant {
	return clock.Instant(0).Add(time.Duration(seconds) * time.Second)
}

// ageAt returns the age of a window that ended at an instant, in milliseconds.
func ageAt(now, end clock.Instant) uint32 { return uint32(now.Sub(end).Milliseconds()) }

func settings(gateways int) Settings {
	return Settings{
		Gateways:        gateways,
		Window:          time.Second,
		Grace:           3 * time.Second,
		KeptBins:        60,
		MaxCells:        1 << 16,
		MaxMissingShare: 0.05,
		Objectives:      []time.Duration{time.Second},
		Classes:         []string{"a"},
	}
}

// windowOf identifies a window of a gateway.
type windowOf struct {
	gateway     int
	incarnation int
	number      int
}

// messages returns the messages of a window with random attempts.
func (w windowOf) messages(attempts int) []func(age uint32) []byte {
	random := rand.New(rand.NewPCG(uint64(w.gateway), uint64(w.number)))
	f := NewSummarizer(0, 1000)
	for range attempts {
		hosts := random.Perm(3)
		record := Record{
			Customer: random.Uint32(),
			Latency:  time.Duration(20e6 * (1 + random.Float64()) * float64(1+hosts[0])),
		}
		for _, host := range hosts {
			candidate := Candidate{Host: uint32(host), Probability: 1. / 3, Load: 1}
			record.Candidates = append(record.Candidates, candidate)
		}
		f.Add(&record)
	}
	cells, folded, lost := f.Flush()
	head := SummaryPart{
		Gateway:      uint32(w.gateway),
		Incarnation:  uint64(w.incarnation),
		Window:       uint32(w.number),
		WindowLength: 1000,
		Attempts:     folded,
		LostRecords:  lost,
	}
	return Encode(head, cells)
}

// receive decodes a message and merges it into a ledger.
func receive(t interface{ Fatal(...any) }, l *Ledger, message []byte, now clock.Instant) {
	part, err := Decode(message)
	if err != nil {
		t.Fatal(err)
	}
	l.Receive(part, now)
}

// receiveWindow merges all messages of a window that ended at an instant.
func receiveWindow(t *testing.T, l *Ledger, w windowOf, attempts int, end, now clock.Instant) {
	t.Helper()
	for _, encode := range w.messages(attempts) {
		receive(t, l, encode(ageAt(now, end)), now)
	}
}

// In whatever order, and however often, messages arrive, the answers are the same to the last bit.
func TestPanelDoesNotDependOnOrderOfMessages(t *testing.T) {
	type message struct {
		encode func(age uint32) []byte
		end    clock.Instant
	}
	ledgerSettings := settings(4)
	ledgerSettings.Grace = 20 * time.Second
	inOrder := NewLedger(ledgerSettings)
	var messages []message
	for number := range 6 {
		end := afterSeconds(100 + number)
		for gateway := range 4 {
			for _, encode := range (windowOf{gateway, 1, number}).messages(60) {
				messages = append(messages, message{encode, end})
				receive(t, inOrder, encode(0), end)
			}
		}
	}
	panelText := func(l *Ledger) string {
		text, err := json.Marshal(l.EstimateRules(0, 100, 105))
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	want := panelText(inOrder)
	answer := inOrder.EstimateRules(0, 100, 105)[NextInRank]
	if !answer.Mean.Available() || answer.Attempts != 4*6*60 || len(answer.Missing) > 0 {
		t.Fatalf("%+v", answer)
	}
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(ledgerSettings)
		for _, m := range rapid.Permutation(messages).Draw(t, "order") {
			copies := 1 + rapid.IntRange(0, 1).Draw(t, "again")
			for range copies {
				delay := rapid.Int64Range(0, 1000).Draw(t, "age")
				now := afterSeconds(105).Add(time.Duration(delay) * time.Millisecond)
				receive(t, l, m.encode(ageAt(now, m.end)), now)
			}
		}
		if d := cmp.Diff(want, panelText(l)); d != "" {
			t.Fatal(d)
		}
	})
}

// Messages that are duplicate, late, invalid or of an old incarnation change nothing and are counted, and gateways with
// missing windows are named.
func TestLedgerCountsIgnoredMessagesAndNamesMissingGateways(t *testing.T) {
	const attempts = 200
	l := NewLedger(settings(3))
	for i := range 10 {
		end := afterSeconds(100 + i)
		receiveWindow(t, l, windowOf{0, 7, i}, attempts, end, end)
		receiveWindow(t, l, windowOf{0, 7, i}, attempts, end, end.Add(time.Second/2))
		if i != 4 {
			receiveWindow(t, l, windowOf{1, 7, i}, attempts, end, end)
		}
		if i < 6 {
			receiveWindow(t, l, windowOf{2, 7, i}, attempts, end, end)
		} else { // a new incarnation, whose first two windows are missing
			receiveWindow(t, l, windowOf{2, 8, i - 4}, attempts, end, end)
			receiveWindow(t, l, windowOf{2, 7, i}, attempts, end, end)
		}
		receiveWindow(t, l, windowOf{9, 7, i}, attempts, end, end) // no such gateway
	}
	answer := l.EstimateRules(0, 100, 109)[Logged]
	if len(answer.Missing) != 2 || answer.Refused != "gateways missing: about 12% of the dispatches" {
		t.Errorf("refused by %q: %+v", answer.Refused, answer.Missing)
	}
	wantWindows := map[uint32]int{1: 1, 2: 3}
	for _, missing := range answer.Missing {
		if want := wantWindows[missing.Gateway]; missing.MissingWindows != want {
			t.Errorf("gateway %d misses %d windows, want %d", missing.Gateway, missing.MissingWindows, want)
		}
	}
	before := l.Counts
	receiveWindow(t, l, windowOf{1, 7, 4}, attempts, afterSeconds(104), afterSeconds(108)) // its bin is sealed
	after := l.Counts
	if before.Duplicates == 0 || before.OldIncarnation == 0 || before.Invalid == 0 || after.Late == 0 {
		t.Errorf("%+v, then %+v", before, after)
	}
	if after.Merged != before.Merged {
		t.Errorf("late messages merged: %+v, then %+v", before, after)
	}
}

// Idle windows before the traffic do not hide that a gateway fell silent during it.
func TestMissingShareCountsSilenceAfterIdleWindows(t *testing.T) {
	l := NewLedger(settings(2))
	for i := range 50 {
		attempts := 0
		if i >= 40 {
			attempts = 100
		}
		end := afterSeconds(100 + i)
		receiveWindow(t, l, windowOf{0, 1, i}, attempts, end, end)
		if i < 44 {
			receiveWindow(t, l, windowOf{1, 1, i}, attempts, end, end)
		}
	}
	answer := l.EstimateRules(0, 100, 149)[Logged]
	if !strings.HasPrefix(answer.Refused, ReasonGatewaysMissing) || answer.MissingShare < 0.15 {
		t.Errorf("%.2f missing, refused by %q", answer.MissingShare, answer.Refused)
	}
}

// The memory of a ledger is bounded, and old bins release theirs.
func TestLedgerBoundsMemory(t *testing.T) {
	ledgerSettings := settings(1)
	ledgerSettings.MaxCells = 3
	ledgerSettings.KeptBins = 5
	l := NewLedger(ledgerSettings)
	for i := range 100 {
		end := afterSeconds(100 + i)
		receiveWindow(t, l, windowOf{0, 1, i}, 50, end, end)
	}
	if l.Counts.OutOfCapacity == 0 || l.cells > 3 || len(l.bins) > 6 || len(l.gateways[0].windows) > 6 {
		t.Errorf("%+v: %d cells, %d bins", l.Counts, l.cells, len(l.bins))
	}
}

// No figure is given if gateways report other probabilities than the actual ones.
func TestPanelRefusesWrongProbabilities(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	f := NewSummarizer(0, 1000)
	for range 4000 { // host 0 has all attempts, though each host is reported with a half
		f.Add(&Record{
			Customer: random.Uint32(),
			Latency:  time.Millisecond + time.Duration(random.Int64N(1e6)),
			Candidates: []Candidate{
				{Host: 0, Probability: 0.5, Load: 1},
				{Host: 1, Probability: 0.5, Load: 2},
			},
		})
	}
	cells, attempts, _ := f.Flush()
	l := NewLedger(settings(1))
	for _, encode := range Encode(SummaryPart{Incarnation: 1, WindowLength: 1000, Attempts: attempts}, cells) {
		receive(t, l, encode(0), afterSeconds(100))
	}
	answers := l.EstimateRules(0, 100, 100)
	for _, rule := range []Rule{LeastLoaded, Random} {
		if answers[rule].Mean.Available() {
			t.Errorf("%+v", answers[rule])
		}
	}
}

// No message causes a panic, and what is merged can be queried.
func FuzzLedgerReceivesAnyMessage(f *testing.F) {
	for _, encode := range (windowOf{1, 1, 1}).messages(5) {
		f.Add(encode(5))
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		part, err := Decode(message)
		if err != nil {
			return
		}
		l := NewLedger(settings(4))
		l.Receive(part, afterSeconds(100))
		if l.Counts.Merged > 0 {
			l.EstimateRules(0, 40, 101)
			l.EstimateReplacement(0, Random, 1, 40, 101)
		}
	})
}
