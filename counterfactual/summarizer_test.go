package counterfactual

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Records that are invalid, exceed the number of cells or were dropped by the queue must count as lost, so that
// estimates account for them.
func TestFolderCountsLostRecords(t *testing.T) {
	summarizer := NewSummarizer(0, 4)
	for i := range 10 {
		summarizer.Add(&Record{Candidates: []Candidate{{Host: uint32(i), Probability: 1, Load: 1}}})
	}
	summarizer.AddLost(2)
	summarizer.Add(&Record{Candidates: []Candidate{{Probability: 0.5, Load: 1}}})
	cells, attempts, lost := summarizer.Flush()
	if len(cells) != 4 || attempts != 13 || lost != 9 {
		t.Errorf("%d cells, %d of %d records lost; want 4 cells, 9 of 13 lost", len(cells), lost, attempts)
	}
}

// randomRecord returns the record of an attempt with twelve candidates, of which two to five are eligible.
func randomRecord(random *rand.Rand) Record {
	record := Record{
		Customer: random.Uint32(),
		Latency:  time.Duration(5e6 * (1 + random.ExpFloat64())),
	}
	hosts := random.Perm(12)
	eligible := 2 + random.IntN(4)
	for i, host := range hosts {
		candidate := Candidate{Host: uint32(host), Load: 1.3 + random.Float64()}
		if i < eligible {
			candidate.Probability = 1 / float64(eligible)
			candidate.Load = 1 + 0.2*random.Float64()
		}
		record.Candidates = append(record.Candidates, candidate)
	}
	return record
}

// BenchmarkFold measures the cost of one attempt: adding its record, and a thousandth of flushing and encoding a
// summary of 1,000 attempts.
func BenchmarkFold(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	var records []Record
	for range 1000 {
		records = append(records, randomRecord(random))
	}
	b.ReportAllocs()
	summarizer := NewSummarizer(0, 8192)
	next := 0
	size := 0
	for b.Loop() {
		summarizer.Add(&records[next])
		next++
		if next < len(records) {
			continue
		}
		next = 0
		cells, attempts, lost := summarizer.Flush()
		head := SummaryPart{WindowLength: 1000, Attempts: attempts, LostRecords: lost}
		for _, encode := range Encode(head, cells) {
			size += len(encode(1))
		}
	}
	b.ReportMetric(float64(size)/float64(b.N), "B/attempt")
}
