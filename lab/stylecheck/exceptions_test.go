package stylecheck

import (
	"slices"
	"strings"
)

// exception allows a place to break a rule.
type exception struct {
	rule     rule
	file     string
	function string // such as Type.Method; empty: each place of the file
	reason   string
}

// place returns the file, with the function if the exception is one function's.
func (e exception) place() string {
	if e.function == "" {
		return e.file
	}
	return e.file + " " + e.function
}

func (e exception) covers(f finding) bool {
	return e.rule == f.rule && e.file == f.file && (e.function == "" || e.function == f.function)
}

// except returns the findings that no exception covers, and the exceptions that cover none.
func except(findings []finding, exceptions []exception) (faults []finding, unused []exception) {
	for _, found := range findings {
		if !slices.ContainsFunc(exceptions, func(e exception) bool { return e.covers(found) }) {
			faults = append(faults, found)
		}
	}
	for _, e := range exceptions {
		if !slices.ContainsFunc(findings, e.covers) {
			unused = append(unused, e)
		}
	}
	return faults, unused
}

// allow returns exceptions from a rule with one reason. A place is a file, or a file, a space and a function.
func allow(rule rule, reason string, places ...string) (exceptions []exception) {
	for _, place := range places {
		file, function, _ := strings.Cut(place, " ")
		exceptions = append(exceptions, exception{rule: rule, file: file, function: function, reason: reason})
	}
	return exceptions
}

// exceptions are the places that may break a rule, each with the reason.
var exceptions = slices.Concat(
	allow(functionLength, "a table with one case a line",
		"configsync/codec_test.go TestDecodeRefusesMalformedFrames",
	),
	allow(testName, "named by what it fuzzes",
		"configsync/codec_test.go FuzzDecode",
		"configsync/document_test.go FuzzApply",
		"internal/frames/frames_test.go FuzzReader",
		"internal/poolrunner/codec_test.go FuzzDecode",
		"internal/publisher/content_test.go FuzzContent",
		"internal/resp/parser_test.go FuzzParser",
	),
	allow(testName, "named by what it measures",
		"configsync/bench_test.go BenchmarkApply",
		"configsync/bench_test.go BenchmarkPublish",
		"configsync/bench_test.go BenchmarkSnapshot",
		"configsync/bench_test.go BenchmarkFile",
		"configsync/bench_test.go BenchmarkSince",
		"counterfactual/folder_test.go BenchmarkFold",
		"internal/bufconn/link_test.go BenchmarkReading",
		"internal/clients/command_test.go BenchmarkCommands",
		"internal/config/live_benchmark_test.go BenchmarkRestore",
		"internal/peers/peers_test.go BenchmarkChange",
	),
	allow(functionLength, "not yet",
		"lab/fleet/cases.go Size.Cases",
		"lab/fleet/evenness.go Report.Even",
		"lab/fleet/fleet.go Start",
		"lab/groundtruth/cost.go MeasureCost",
		"lab/relay/relay_test.go TestDatagrams",
	),
	allow(testName, "not yet",
		"lab/acceptance/acceptance_test.go TestBroken",
		"lab/acceptance/acceptance_test.go TestShort",
		"lab/fleet/fleet_test.go TestStart",
		"lab/fleet/fleet_test.go TestCases",
		"lab/fleet/fleet_test.go TestChecks",
		"lab/fleet/fleet_test.go TestEven",
		"lab/fleet/full_test.go TestFull",
		"lab/fleetsim/fleetsim_test.go TestDeterministic",
		"lab/groundtruth/groundtruth_test.go TestCases",
		"lab/groundtruth/groundtruth_test.go TestCost",
		"lab/leasesim/leasesim_test.go TestSafety",
		"lab/leasesim/leasesim_test.go TestWorst",
		"lab/leasesim/leasesim_test.go TestLowered",
		"lab/pools/pools_test.go TestCompared",
		"lab/pools/pools_test.go TestOverload",
		"lab/pools/pools_test.go TestNetwork",
		"lab/pools/pools_test.go TestVoters",
		"lab/pools/pools_test.go TestStuck",
		"lab/relay/relay_test.go TestFate",
		"lab/relay/relay_test.go TestDatagrams",
		"lab/relay/relay_test.go TestStream",
		"lab/rollout/checks_test.go TestChecks",
		"lab/rollout/checks_test.go TestHistory",
		"lab/rollout/full_test.go TestFull",
		"lab/rollout/hollow/full_test.go TestFull",
		"lab/rollout/hollow/hollow_test.go TestSmall",
		"lab/rollout/hollow/hollow_test.go TestRestarts",
		"lab/rollout/hollow/hollow_test.go TestComparison",
		"lab/rollout/hollow/verdict_test.go TestFaults",
		"lab/rollout/hollow/verdict_test.go TestReport",
		"lab/rollout/rollout_test.go TestFleet",
		"lab/rollout/rollout_test.go TestCases",
		"lab/scale/full_test.go TestFull",
		"lab/scale/scale_test.go TestSmall",
		"lab/scale/scale_test.go TestStart",
		"lab/scale/scale_test.go TestPlanted",
		"lab/scale/scale_test.go TestFit",
		"lab/scale/scale_test.go TestSame",
		"lab/simenv/simenv_test.go TestScenes",
		"lab/simenv/simenv_test.go TestReplaced",
		"lab/startcost/startcost_test.go TestSearches",
		"lab/startcost/startcost_test.go TestPlanted",
		"lab/startcost/startcost_test.go TestGrowth",
		"lab/startcost/startcost_test.go TestProcess",
		"lab/startcost/startcost_test.go TestFull",
	),
	allow(lineWidth, "not yet",
		"lab/acceptance/acceptance.go",
		"lab/acceptance/acceptance_test.go",
		"lab/actor/actor.go",
		"lab/faultygateway/main.go",
		"lab/fleet/cases.go",
		"lab/fleet/evenness.go",
		"lab/fleet/fleet.go",
		"lab/fleet/fleet_test.go",
		"lab/fleet/measure.go",
		"lab/fleet/process.go",
		"lab/fleet/report.go",
		"lab/fleet/scenario.go",
		"lab/fleetsim/customers.go",
		"lab/fleetsim/fleetsim.go",
		"lab/fleetsim/report.go",
		"lab/fleetsim/sim.go",
		"lab/groundtruth/cases.go",
		"lab/groundtruth/cost.go",
		"lab/groundtruth/groundtruth.go",
		"lab/groundtruth/groundtruth_test.go",
		"lab/groundtruth/records.go",
		"lab/knownred/knownred_test.go",
		"lab/leasesim/leasesim.go",
		"lab/leasesim/leasesim_test.go",
		"lab/pools/cases.go",
		"lab/pools/pools.go",
		"lab/pools/pools_test.go",
		"lab/rollout/baseline.go",
		"lab/rollout/cases.go",
		"lab/rollout/checks.go",
		"lab/rollout/checks_test.go",
		"lab/rollout/effects.go",
		"lab/rollout/faults.go",
		"lab/rollout/figures.go",
		"lab/rollout/full_test.go",
		"lab/rollout/hollow/compare.go",
		"lab/rollout/hollow/content.go",
		"lab/rollout/hollow/follower.go",
		"lab/rollout/hollow/followers.go",
		"lab/rollout/hollow/full_test.go",
		"lab/rollout/hollow/group.go",
		"lab/rollout/hollow/hollow_test.go",
		"lab/rollout/hollow/latency.go",
		"lab/rollout/hollow/point.go",
		"lab/rollout/hollow/report.go",
		"lab/rollout/hollow/sample.go",
		"lab/rollout/hollow/storm.go",
		"lab/rollout/hollow/verdict.go",
		"lab/rollout/hostile.go",
		"lab/rollout/refusals.go",
		"lab/rollout/rollout.go",
		"lab/rollout/steps.go",
		"lab/scale/axis.go",
		"lab/scale/compare.go",
		"lab/scale/fit.go",
		"lab/scale/full_test.go",
		"lab/scale/hollow.go",
		"lab/scale/measure.go",
		"lab/scale/process.go",
		"lab/scale/product.go",
		"lab/scale/report.go",
		"lab/scale/scale_test.go",
		"lab/scale/serve.go",
		"lab/simenv/config.go",
		"lab/simenv/gateway.go",
		"lab/simenv/request.go",
		"lab/simenv/rules.go",
		"lab/simenv/scenarios.go",
		"lab/simenv/score.go",
		"lab/simenv/simenv.go",
		"lab/simenv/simenv_test.go",
		"lab/startcost/startcost.go",
		"lab/startcost/startcost_test.go",
		"lab/startcost/table.go",
	),
)
