package poolrunner

import (
	"testing"

	"ravensill/internal/consensus"
	"ravensill/pool"
)

func FuzzDecode(f *testing.F) {
	key := []byte("0123456789abcdef")
	good, err := Encode(key, &Message{Report: &pool.Report{Member: 3, Incarnation: 1 << 63, Demand: 2.5, Weight: 1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, false)
	f.Add([]byte(`{"g":{"Seat":-1,"Units":-5}}`), true)
	f.Add([]byte(`{"r":{"Seat":1e99},"g":{}}`), true)
	t := pool.Terms{Members: 4, Floor: 1, Lease: 5, ReportInterval: 1}
	f.Fuzz(func(tt *testing.T, b []byte, sign bool) {
		if sign {
			b = append(consensus.Sign(key, b), b...)
		}
		w, err := Decode(key, b)
		if err != nil {
			return
		}
		if _, err := Decode([]byte("another key of it"), b); err == nil {
			tt.Error("a word signed with another key was taken in")
		}
		l, h := pool.NewGrantor(&t, 1, pool.NewLedger(&t)), pool.NewLeaseholder(&t, 0, 1, 1, 1, 9, 1)
		if w.Report != nil {
			l.Step(2, w.Report)
			l.Step(3, pool.Tick{})
		}
		if w.Grant != nil {
			if h.Receive(2, w.Grant); h.Allowed(2) < t.Floor {
				tt.Error("less than the floor")
			}
		}
	})
}
