package rollout

import (
	"time"

	"ravensill/lab/fleet"
)

const (
	second      = time.Second
	millisecond = time.Millisecond
)

// Large is the size of the runs in CI that are about the whole fleet.
func Large() Size {
	return Size{Gateways: 24, Hosts: 6, Publishers: 3, Rate: 120, Seed: 5, ElectionMS: 600, Pace: 250 * millisecond, Burst: 300,
		Outage: second}
}

// Small is the size of the runs in CI that are about one gateway or one publisher.
func Small() Size {
	return Size{Gateways: 6, Hosts: 4, Publishers: 3, Rate: 60, Seed: 6, ElectionMS: 600, Pace: 200 * millisecond, Burst: 60,
		Outage: second}
}

// Cases are the hard cases: those of the whole fleet at one size, the others at another.
func Cases(large, small Size) []Scenario {
	third := large.Gateways / 3
	none := Refusals("")
	return []Scenario{
		{Name: "steady and a burst", Size: large, Holds: []Check{Digests(), none},
			Steps: []Step{More(8), Effects(), Burst(), More(3)}},

		{Name: "the leading publisher killed", Size: small, Holds: []Check{Digests(), none},
			Steps: []Step{More(3), KillLeader(), More(3), StartPublishers(DiskKept), More(3), KillLeader(), More(2),
				StartPublishers(DiskEmpty), More(3)}},

		{Name: "the leading publisher cut off from the others", Size: small, Holds: []Check{Digests(), none},
			Steps: []Step{More(3), CutLeader("raft"), More(3), Heal("raft"), More(3)}},

		{Name: "all publishers gone, a gateway restarted meanwhile", Size: small, Holds: []Check{Digests(), none},
			Steps: []Step{More(3), KillPublishers(0, 1, 2), Restart(DiskKept, 1), Served(0, 1), Hold(small.Outage), Served(0, 1),
				StartPublishers(DiskKept), More(3)}},

		{Name: "a zone cut off and healed", Size: large, Holds: []Check{Digests(), none},
			Steps: []Step{More(3), CutZone("zone", fleet.Seats(0, third)...), More(5, fleet.Seats(0, third)...), Hold(large.Outage),
				Heal("zone"), More(3)}},

		{Name: "many gateways restarted at once", Size: large, Holds: []Check{Digests(), none},
			Steps: []Step{More(3), Restart(DiskKept, fleet.Seats(0, third)...), More(2),
				Restart(DiskEmpty, fleet.Seats(third, 2*third)...), More(3)}},

		{Name: "a publisher with an old log", Size: small, Holds: []Check{Digests(), none},
			Steps: []Step{More(3), CopyState(2), More(5), KillPublishers(2), More(3), StartPublishers(DiskCopied), More(3)}},
	}
}
