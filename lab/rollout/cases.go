package rollout

import (
	"time"

	"ravensill/lab/fleet"
)

const (
	second      = time.Second
	millisecond = time.Millisecond
)

// LargeSize returns the size of the runs in CI that concern the whole fleet.
func LargeSize() Size {
	return Size{
		Gateways:          24,
		Hosts:             6,
		Publishers:        3,
		Rate:              120,
		Seed:              5,
		ElectionTimeoutMS: 600,
		ChangeInterval:    200 * millisecond,
		Burst:             300,
		OutageDuration:    300 * millisecond,
	}
}

// SmallSize returns the size of the runs in CI that concern one gateway or one publisher.
func SmallSize() Size {
	return Size{
		Gateways:          4,
		Hosts:             3,
		Publishers:        3,
		Rate:              40,
		Seed:              6,
		ElectionTimeoutMS: 600,
		ChangeInterval:    200 * millisecond,
		Burst:             60,
		OutageDuration:    300 * millisecond,
	}
}

// scenario returns a scenario of the size after which all digests are equal and no gateway has refused a version.
func (s Size) scenario(name string, steps ...Step) Scenario {
	return Scenario{Name: name, Size: s, Checks: []Check{EqualDigests(), RefusedOnlyBy("")}, Steps: steps}
}

// FleetCases returns the cases that concern the whole fleet.
func FleetCases(size Size) []Scenario {
	third := size.Gateways / 3
	zone := fleet.Indexes(0, third)
	rest := fleet.Indexes(third, 2*third)
	return []Scenario{
		size.scenario("steady and a burst",
			WaitVersions(6),
			CheckPlanEffects(),
			DrainHost(0),
			PublishBurst(),
			ReactivateHost(0),
			WaitVersions(2)),

		size.scenario("a zone cut off and healed",
			WaitVersions(2),
			PartitionZone("zone", zone...),
			WaitVersions(4, zone...),
			Pause(size.OutageDuration),
			EndFaults("zone"),
			WaitVersions(2)),

		size.scenario("many gateways restarted at once",
			WaitVersions(2),
			RestartGateways(DiskKept, zone...),
			WaitVersions(2),
			RestartGateways(DiskEmpty, rest...),
			WaitVersions(2)),
	}
}

// JoinScenarios returns one scenario of several of one size, so that a fleet is started once for all.
func JoinScenarios(name string, scenarios ...Scenario) Scenario {
	joined := Scenario{Name: name, Size: scenarios[0].Size, Checks: scenarios[0].Checks}
	for _, scenario := range scenarios {
		joined.Steps = append(joined.Steps, scenario.Steps...)
	}
	return joined
}

// SingleProcessCases returns the cases that concern one gateway or one publisher.
func SingleProcessCases(size Size) []Scenario {
	return append(publisherCases(size), gatewayCases(size)...)
}

// publisherCases returns the cases of publishers that fail.
func publisherCases(size Size) []Scenario {
	return []Scenario{
		size.scenario("the leading publisher killed",
			WaitVersions(2),
			KillLeader(),
			WaitVersions(2),
			StartPublishers(DiskKept),
			WaitVersions(2),
			KillLeader(),
			WaitVersions(2),
			StartPublishers(DiskEmpty),
			WaitVersions(2)),

		size.scenario("the leading publisher cut off from the others",
			WaitVersions(3),
			PartitionLeader("raft"),
			WaitVersions(3),
			EndFaults("raft"),
			WaitVersions(3)),

		size.scenario("all publishers gone and a gateway restarted meanwhile",
			WaitVersions(3),
			KillPublishers(0, 1, 2),
			RestartGateways(DiskKept, 1),
			CheckServed(0, 1),
			Pause(size.OutageDuration),
			CheckServed(0, 1),
			StartPublishers(DiskKept),
			WaitVersions(3)),

		size.scenario("a publisher with an old log",
			WaitVersions(3),
			CopyState(2),
			WaitVersions(5),
			KillPublishers(2),
			WaitVersions(3),
			StartPublishers(DiskRestored),
			WaitVersions(3)),
	}
}

// gatewayCases returns the cases of links, disks and messages of one gateway.
func gatewayCases(size Size) []Scenario {
	badRequests := size.scenario("bad requests", RejectBadRequests())
	badRequests.NoRoutineChanges = true
	blockedDisk := size.scenario("a disk that can't be written and one that was altered",
		WaitVersions(8),
		BlockDisk(0),
		WaitVersions(3),
		CheckLogLines("configuration_save_failed", 1, 0),
		DamageDisk(1),
		WaitVersions(3),
		CheckLogLines("configuration_damaged", 1, 1),
		CheckServed(0, 1))
	blockedDisk.Checks = []Check{EqualDigests(0), RefusedOnlyBy("")}
	return []Scenario{
		size.scenario("each link of a gateway cut one after the other",
			WaitVersions(2),
			BlockLink("link", 0, 0),
			WaitVersions(2),
			EndFaults("link"),
			BlockLink("link", 0, 1),
			WaitVersions(2),
			EndFaults("link"),
			BlockLink("link", 0, 2),
			WaitVersions(2),
			EndFaults("link"),
			ResetLinks(0),
			WaitVersions(2)),

		size.scenario("a gateway that reads slowly",
			WaitVersions(2),
			DelayLink("slow", 0, 1200*millisecond),
			WaitVersions(6, 0),
			WaitVersions(2),
			EndFaults("slow"),
			StallLink("still", 0),
			WaitVersions(6, 0),
			EndFaults("still"),
			WaitVersions(3)),

		refusalCase(size),
		badRequests,

		size.scenario("hostile messages",
			WaitVersions(2),
			SendHostileFollowerMessages(),
			WaitVersions(2),
			ImpersonatePublisher(0, 0),
			CheckImpostorConfigurationAbsent(0),
			WaitVersions(2)),

		blockedDisk,
	}
}

// refusalCase returns the case of a version that lacks one member, which that member refuses.
func refusalCase(size Size) Scenario {
	removed := size.Gateways - 1
	members := fleet.Indexes(0, size.Gateways)
	refusal := size.scenario("a version that one gateway refuses",
		PublishMembers(members...),
		PublishWithoutMember(removed),
		CheckServed(removed),
		PublishMembers(members...),
		WaitNoRefusals(),
		CheckServed(removed))
	refusal.NoRoutineChanges = true
	refusal.Checks = []Check{EqualDigests(), RefusedOnlyBy(memberResource(removed), removed)}
	return refusal
}
