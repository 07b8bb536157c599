package pool

import (
	"encoding/json"
	"reflect"
	"testing"
)

// The JSON keys in logs, snapshots and datagrams must stay those of earlier releases: otherwise a voter can't read its
// stored state after an upgrade, and gateways of different releases can't read each other's messages.
func TestJSONKeepsNamesOfEarlierReleases(t *testing.T) {
	ledger := NewLedger(&Terms{Members: 1, Floor: 2, Reserve: 3})
	ledger.Entries[0] = Entry{Incarnation: 4, Number: 5, Units: 6, Stranded: 7}
	change := Change{Member: 1, Number: 2, Incarnation: 3, Units: 4, Clear: true}
	for _, test := range []struct {
		value any
		want  string
	}{
		{
			&Report{
				Member:      1,
				Incarnation: 2,
				Sent:        3,
				Number:      4,
				Bound:       5,
				Connections: 6,
				Demand:      7.5,
				Weight:      8,
				Serial:      9,
				Capacity:    10,
			},
			`{"Seat":1,"Life":2,"Sent":3,"Number":4,"Bound":5,"Held":6,"Demand":7.5,"Weight":8,"Serial":9,"Capacity":10}`,
		},
		{
			&Grant{Member: 1, Incarnation: 2, Number: 3, Units: 4, Sent: 5, KnownIncarnation: 6, Serial: 7},
			`{"Seat":1,"Life":2,"Number":3,"Units":4,"Sent":5,"Known":6,"Serial":7}`,
		},
		{
			&Batch{Serial: 1, Capacity: 2, Changes: []Change{change, {}}},
			`{"Serial":1,"Capacity":2,"Changes":[` +
				`{"Seat":1,"Number":2,"Life":3,"Units":4,"Clear":true},{"Seat":0,"Number":0,"Units":0}]}`,
		},
		{&Batch{}, `{}`},
		{
			ledger,
			`{"Capacity":0,"Serial":0,"Entries":[{"Life":4,"Number":5,"Units":6,"Stranded":7}],"Reserve":3,"Floor":2}`,
		},
	} {
		text, err := json.Marshal(test.value)
		if err != nil || string(text) != test.want {
			t.Errorf("%T is encoded as %s, error %v; want %s", test.value, text, err, test.want)
		}
		decoded := reflect.New(reflect.TypeOf(test.value).Elem()).Interface()
		if err := json.Unmarshal([]byte(test.want), decoded); err != nil || !reflect.DeepEqual(decoded, test.value) {
			t.Errorf("%s is decoded as %+v, error %v; want %+v", test.want, decoded, err, test.value)
		}
	}
}
