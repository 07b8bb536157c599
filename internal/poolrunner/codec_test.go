package poolrunner

import (
	"testing"

	"ravensill/internal/consensus"
	"ravensill/pool"
)

// FuzzDecode checks that no datagram makes Decode accept another key, a grantor fail, or a lease holder go below its
// floor.
func FuzzDecode(f *testing.F) {
	key := []byte("0123456789abcdef")
	report := &pool.Report{Member: 3, Incarnation: 1 << 63, Demand: 2.5, Weight: 1}
	good, err := Encode(key, &Message{Report: report})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, false)
	f.Add([]byte(`{"g":{"Seat":-1,"Units":-5}}`), true)
	f.Add([]byte(`{"r":{"Seat":1e99},"g":{}}`), true)
	terms := pool.Terms{Members: 4, Floor: 1, Lease: 5, ReportInterval: 1}
	f.Fuzz(func(t *testing.T, datagram []byte, sign bool) {
		if sign {
			datagram = append(consensus.Sign(key, datagram), datagram...)
		}
		message, err := Decode(key, datagram)
		if err != nil {
			return
		}
		if _, err := Decode([]byte("another key of it"), datagram); err == nil {
			t.Error("a message signed with another key was accepted")
		}
		if message.Report != nil {
			grantor := pool.NewGrantor(&terms, 1, pool.NewLedger(&terms))
			grantor.Receive(2, message.Report)
			grantor.Tick(3)
		}
		if message.Grant != nil {
			holder := pool.NewLeaseholder(&terms, 0, 1, 1, 1, 9, 1)
			holder.Receive(2, message.Grant)
			if holder.Allowed(2) < terms.Floor {
				t.Error("less than the floor")
			}
		}
	})
}
