package stylecheck

import (
	"slices"
	"strings"
)

// exception allows a place in a file to break a rule.
type exception struct {
	rule     rule
	file     string
	function string // such as Type.Method; empty: the whole file
	reason   string
}

// location returns the file, followed by the function if the exception is for only one.
func (e exception) location() string {
	if e.function == "" {
		return e.file
	}
	return e.file + " " + e.function
}

// covers reports whether the exception allows a finding.
func (e exception) covers(f finding) bool {
	return e.rule == f.rule && e.file == f.file && (e.function == "" || e.function == f.function)
}

// applyExceptions returns the findings that no exception covers, and the exceptions that cover no finding.
func applyExceptions(findings []finding, exceptions []exception) (violations []finding, unused []exception) {
	for _, found := range findings {
		if !slices.ContainsFunc(exceptions, func(e exception) bool { return e.covers(found) }) {
			violations = append(violations, found)
		}
	}
	for _, e := range exceptions {
		if !slices.ContainsFunc(findings, e.covers) {
			unused = append(unused, e)
		}
	}
	return violations, unused
}

// allow returns exceptions from a rule for several places and one reason. A place is a file, or a file and a function
// separated by a space.
func allow(rule rule, reason string, places ...string) (exceptions []exception) {
	for _, place := range places {
		file, function, _ := strings.Cut(place, " ")
		exceptions = append(exceptions, exception{rule: rule, file: file, function: function, reason: reason})
	}
	return exceptions
}

// exceptions are the places that may break a rule, each with the reason.
var exceptions = slices.Concat(
	allow(functionLength, "a table of cases",
		"configsync/codec_test.go TestDecodeRefusesMalformedFrames",
		"lab/fleet/checks_test.go TestEachCheckFindsItsViolation",
		"lab/knownred/knownred_test.go TestOnlyNamedTestsArePassedOver",
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
		"counterfactual/summarizer_test.go BenchmarkFold",
		"internal/bufconn/link_test.go BenchmarkReading",
		"internal/clients/command_test.go BenchmarkCommands",
		"internal/config/live_benchmark_test.go BenchmarkRestore",
		"internal/peers/peers_test.go BenchmarkChange",
	),
)
