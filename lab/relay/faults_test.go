package relay

import (
	"fmt"
	"testing"
	"time"

	"ravensill/internal/golden"
)

// What a pair's datagrams meet follows from the seed, the pair and the order of sending alone.
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
			text += fmt.Sprint(" ", faults.DeliveryDelays(relay.random("mail", test.from, test.to, sentBefore)))
		}
		text += "\n"
		relay.Close()
	}
	golden.Check(t, text)
}
