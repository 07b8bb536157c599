package configsync

import (
	"fmt"
	"testing"
	"time"
)

// The operators' size: 54,000 quota plans and 6,000 members, followed by 6,000 gateways.
const (
	benchResources = 60_000
	benchFollowers = 6_000
)

// BenchmarkApply applies a delta of one change to documents of several sizes.
func BenchmarkApply(b *testing.B) {
	for _, resources := range []int{600, 6_000, benchResources} {
		b.Run(fmt.Sprint(resources), func(b *testing.B) {
			document := largeDocument(b, resources)
			for b.Loop() {
				if err := document.Apply(next(document, set("plans/000007", fmt.Sprint(document.Version())))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPublish sends one version to all followers and receives their acknowledgements.
func BenchmarkPublish(b *testing.B) {
	for _, followers := range []int{60, 600, benchFollowers} {
		b.Run(fmt.Sprint(followers), func(b *testing.B) {
			state := newTestState(b, testLimits)
			sender := NewSender(state, SenderLimits{})
			for i := range followers {
				if _, err := sender.Connect(start, ConnectionID(i), &Hello{Protocol: Protocol, Member: i, Log: testLog}); err != nil {
					b.Fatal(err)
				}
				sender.Next(start, ConnectionID(i))
			}
			for b.Loop() {
				publish(b, state, set("limits", fmt.Sprint(state.Document().Version())))
				answer := &Acknowledge{state.Document().Version(), state.Document().Digest()}
				for i := range followers {
					if sender.Next(start, ConnectionID(i)).Frame == nil {
						b.Fatal("nothing sent")
					}
					if err := sender.Receive(start, ConnectionID(i), answer); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// BenchmarkSnapshot encodes a complete document, once for all followers that get it.
func BenchmarkSnapshot(b *testing.B) {
	document := largeDocument(b, benchResources)
	for b.Loop() {
		b.SetBytes(int64(newPreparedSnapshot(document).size))
	}
}

// BenchmarkFile reads the file of a gateway's last good version, as at its start.
func BenchmarkFile(b *testing.B) {
	file := EncodeFile(largeDocument(b, benchResources))
	b.SetBytes(int64(len(file)))
	for b.Loop() {
		if _, err := DecodeFile(file); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSince merges a burst of 300 deltas.
func BenchmarkSince(b *testing.B) {
	state := newTestState(b, HistoryLimits{Deltas: 1000, Bytes: 1 << 20})
	for i := range 300 {
		publish(b, state, set(Resource(fmt.Sprintf("plans/%d", i)), time.Duration(i).String()))
	}
	for b.Loop() {
		if _, ok := state.History().DeltaSince(0); !ok {
			b.Fatal("gone")
		}
	}
}
