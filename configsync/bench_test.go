package configsync

import (
	"fmt"
	"testing"
	"time"
)

// The largest deployment that operators expect: 54,000 quota plans and 6,000 members, distributed to 6,000 gateways.
const (
	benchResources = 60_000
	benchFollowers = 6_000
)

// BenchmarkApply applies a delta of one change to documents of several sizes, by number of resources.
func BenchmarkApply(b *testing.B) {
	for _, resources := range []int{600, 6_000, benchResources} {
		b.Run(fmt.Sprint(resources), func(b *testing.B) {
			document := largeDocument(b, resources)
			for b.Loop() {
				if err := document.Apply(nextDelta(document, set("plans/000007", fmt.Sprint(document.Version())))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPublish publishes one version, sends it to all followers and receives their acknowledgements.
func BenchmarkPublish(b *testing.B) {
	for _, followers := range []int{60, 600, benchFollowers} {
		b.Run(fmt.Sprint(followers), func(b *testing.B) {
			state := newTestState(b, testLimits)
			sender := NewSender(state, SenderLimits{})
			for i := range followers {
				if _, err := sender.Connect(start, ConnectionID(i), &Hello{
					Protocol: Protocol, Member: i, Log: testLog,
				}); err != nil {
					b.Fatal(err)
				}
				sender.Next(start, ConnectionID(i))
			}
			for b.Loop() {
				publish(b, state, set("limits", fmt.Sprint(state.Document().Version())))
				answer := &Acknowledge{state.Document().Version(), state.Document().Digest()}
				for i := range followers {
					if sender.Next(start, ConnectionID(i)).Frame == nil {
						b.Fatal("the sender has no frame for a follower of an older version")
					}
					if err := sender.Receive(start, ConnectionID(i), answer); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// BenchmarkSnapshot encodes a complete document as the frames of a snapshot, which all followers share.
func BenchmarkSnapshot(b *testing.B) {
	document := largeDocument(b, benchResources)
	for b.Loop() {
		b.SetBytes(int64(newPreparedSnapshot(document).size))
	}
}

// BenchmarkFile decodes the file with the last good version, as a gateway does at its start.
func BenchmarkFile(b *testing.B) {
	file := EncodeFile(largeDocument(b, benchResources))
	b.SetBytes(int64(len(file)))
	for b.Loop() {
		if _, err := DecodeFile(file); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSince merges 300 deltas into one.
func BenchmarkSince(b *testing.B) {
	state := newTestState(b, HistoryLimits{Deltas: 1000, Bytes: 1 << 20})
	for i := range 300 {
		publish(b, state, set(Resource(fmt.Sprintf("plans/%d", i)), time.Duration(i).String()))
	}
	for b.Loop() {
		if _, ok := state.History().DeltaSince(0); !ok {
			b.Fatal("the history has no delta since version 0")
		}
	}
}
