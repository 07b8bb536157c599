package relay

import (
	"fmt"
	"testing"
	"time"

	"ravensill/internal/golden"
)

// A run can be repeated only if the faults of a pair's datagrams depend on nothing but the seed, the pair and the order
// of sending.
func TestDeliveryDelaysFollowFromSeedAndOrder(t *testing.T) {
	const datagrams = 12
	var text string
	faults := Faults{Loss: 0.2, Duplicate: 0.2, Reorder: 0.2, Delay: time.Millisecond, Jitter: time.Millisecond}
	for _, test := range []struct {
		seed     uint64
		from, to string
	}{
		{1, "a", "b"},
		{1, "b", "a"},
		{2, "a", "b"},
	} {
		relay := New(test.seed)
		text += fmt.Sprint(test, ":")
		for sentBefore := range uint64(datagrams) {
			text += fmt.Sprint(" ", faults.DeliveryDelays(relay.datagramRandom("mail", test.from, test.to, sentBefore)))
		}
		text += "\n"
		relay.Close()
	}
	golden.Check(t, text)
}
