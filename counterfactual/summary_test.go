package counterfactual

import (
	"math/rand/v2"
	"testing"
)

// BenchmarkFold measures what an attempt costs the observer: folding, and its part of a window's summary of 1,000.
func BenchmarkFold(b *testing.B) {
	rnd := rand.New(rand.NewPCG(1, 1))
	var records []Record
	for range 1000 {
		r := Record{Customer: rnd.Uint32(), Latency: int64(5e6 * (1 + rnd.ExpFloat64()))}
		hosts, able := rnd.Perm(12), 2+rnd.IntN(4)
		for i, h := range hosts {
			o := Candidate{Host: uint32(h), Load: 1.3 + rnd.Float64()}
			if i < able {
				o.Probability, o.Load = 1/float64(able), 1+0.2*rnd.Float64()
			}
			r.Candidates = append(r.Candidates, o)
		}
		records = append(records, r)
	}
	b.ReportAllocs()
	f := NewFolder(0, 8192)
	n, size := 0, 0
	for b.Loop() {
		f.Add(&records[n])
		if n++; n == len(records) {
			cells, seen, lost := f.Close()
			for _, e := range Encode(Part{WindowLength: 1000, Attempts: seen, LostRecords: lost}, cells) {
				size += len(e(1))
			}
			n = 0
		}
	}
	b.ReportMetric(float64(size)/float64(b.N), "B/attempt")
}
