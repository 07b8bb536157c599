package observer

import (
	"encoding/json"
	"testing"
	"time"

	"ravensill/counterfactual"
	"ravensill/internal/clock"
)

// Tools of the operators read the records file and the answers of collectors by these names, times in nanoseconds.
func TestJSONNamesOfRecordsAndCounts(t *testing.T) {
	entry := Entry{
		Request: "r-1",
		Attempt: 2,
		SentAt:  clock.Instant(3 * time.Second),
		Record: counterfactual.Record{
			Class:      4,
			Customer:   5,
			Candidates: []counterfactual.Candidate{{Host: 6, Incarnation: 7, Zone: 8, Probability: 0.9, Load: 10}},
			Latency:    11 * time.Millisecond,
			End:        counterfactual.Censored,
		},
	}
	state := CollectorState{
		MessageCounts: counterfactual.MessageCounts{
			Merged:         1,
			Duplicates:     2,
			Late:           3,
			OldIncarnation: 4,
			Invalid:        5,
			OutOfCapacity:  6,
		},
		Bin:    7,
		Sealed: 8,
	}
	for _, test := range []struct {
		value any
		want  string
	}{
		{entry, `{"Req":"r-1","Try":2,"At":3000000000,"Frontend":4,"Customer":5,` +
			`"Options":[{"Host":6,"Born":7,"Zone":8,"Chance":0.9,"Load":10}],"Lag":11000000,"End":1}`},
		{state, `{"Merged":1,"Twice":2,"Late":3,"OldLife":4,"Strange":5,"Full":6,"Bin":7,"Sealed":8}`},
	} {
		got, err := json.Marshal(test.value)
		if err != nil || string(got) != test.want {
			t.Errorf("%s, %v, want %s", got, err, test.want)
		}
	}
}
