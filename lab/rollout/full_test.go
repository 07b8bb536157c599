package rollout

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

var (
	full     = flag.Int("full", 0, "gateways of the full-size measurements; 0 leaves them out")
	rate     = flag.Float64("rate", 400, "clients' requests a second of the full-size measurements")
	pace     = flag.Duration("pace", 4300*time.Millisecond, "time between two changes of the full-size measurements")
	cases    = flag.String("cases", "", "full-size scenarios whose names hold this")
	baseline = flag.Bool("baseline", true, "measure restarts on each change too")
	into     = flag.String("into", "", "file that the figures are added to; empty prints them only")
)

// Budgets of the operators, for each gateway.
const (
	budgetInForce = 12 * time.Second
	budgetBytes   = 7000 // a second
	budgetShare   = 0.013
	budgetMemory  = 128e6 // bytes
)

const (
	fullTimeout     = 15 * time.Minute // of one scenario: no verdict, only an end
	baselineChanges = 3
	baselineBatches = 8 // in which a fleet is restarted
)

// fullSize is the size that the flags give.
func fullSize() Size {
	return Size{Gateways: *full, Hosts: max(6, *full/3), Publishers: 3, Rate: *rate, Seed: 9, ElectionMS: 1000, Pace: *pace,
		Burst: 300, Outage: time.Minute}
}

// fullCases are the same cases as in CI, all at one size, with more changes at the operators' pace in the steady one.
func fullCases() []Scenario {
	size := fullSize()
	all := append(FleetCases(size), Cases(size)...)
	all[0].Steps = append([]Step{More(14)}, all[0].Steps...)
	idle := size
	idle.Rate = 1
	holds := all[0].Holds
	return append([]Scenario{
		{Name: "no clients, no changes", Size: idle, Quiet: true, Holds: holds, Steps: []Step{Hold(size.Outage)}},
		{Name: "no clients, steady", Size: idle, Holds: holds, Steps: []Step{More(14)}},
		{Name: "no changes", Size: size, Quiet: true, Holds: holds, Steps: []Step{Hold(size.Outage)}},
	}, all...)
}

// report writes figures as soon as they are there, so that a run that is ended early leaves those that it had.
type report struct{ t *testing.T }

func (r report) add(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Print(text)
	if *into != "" {
		appendTo(r.t, *into, text)
	}
}

// TestFull plays the cases at full size and writes what was measured. Only counts decide.
func TestFull(t *testing.T) {
	if *full == 0 {
		t.Skip("no -full")
	}
	report := report{t}
	report.add("\n## %d gateways, %d hosts, 3 publishers, %.0f requests a second, a change each %v (%s, load of the machine %s)\n\n",
		*full, fullSize().Hosts, *rate, *pace, time.Now().UTC().Format(time.DateOnly), loadAverage())
	report.add("| scenario | changes | in force: p50, p99, latest (budget 12 s) | after an absence | bytes/s a gateway: mean, most (budget 7000)" +
		" | gateways: core (budget 1.3%%), memory mean, most (budget 128 MB) | publishers: core, memory mean, most | requests | holds |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range fullCases() {
		if !strings.Contains(s.Name, *cases) {
			continue
		}
		t.Run(s.Name, func(t *testing.T) { playFull(t, &s, report) })
	}
	if *baseline {
		playBaseline(t, report)
	}
}

// playFull plays one scenario and adds a row on it.
func playFull(t *testing.T, s *Scenario, report report) {
	ctx, cancel := context.WithTimeout(context.Background(), fullTimeout)
	defer cancel()
	run, broken, err := s.Play(ctx)
	if err != nil {
		report.add("| %s | | | | | | | | not finished: %.200v |\n", s.Name, err)
		t.Fatal(err)
	}
	for _, fault := range broken {
		t.Error(fault)
	}
	for _, answer := range run.Publishers.Slow() {
		t.Log(answer)
	}
	f := run.Figures()
	report.add("| %s | %d | %v | %v | %.0f, %.0f | %v | %v | %s | %s |\n", s.Name, f.Changes, f.Reachable, f.Returned,
		f.Bytes, f.BytesMost, f.Gateways, f.Publishers, run.Load.Summary(), verdict(&f, broken))
	t.Log(f)
}

// verdict tells in a few words what held, budgets among it. Budgets are told and do not decide.
func verdict(f *Figures, broken []string) string {
	if len(broken) > 0 {
		return "no: " + strings.Join(broken, "; ")
	}
	var beyond []string
	if f.Reachable.rank(1) > budgetInForce {
		beyond = append(beyond, "time")
	}
	if f.BytesMost > budgetBytes {
		beyond = append(beyond, "bytes")
	}
	if f.Gateways.Share > budgetShare {
		beyond = append(beyond, "processor")
	}
	if float64(f.Gateways.Most) > budgetMemory {
		beyond = append(beyond, "memory")
	}
	if len(beyond) > 0 {
		return "all counts; beyond the budget: " + strings.Join(beyond, ", ")
	}
	return "all"
}

// playBaseline measures a fleet that is restarted on each change, all at once and in batches.
func playBaseline(t *testing.T, report report) {
	size := fullSize()
	report.add("\n| restart on each change | one gateway has a change after | all have it after | requests | lost |\n" +
		"| --- | --- | --- | --- | --- |\n")
	for _, batch := range []int{size.Gateways, max(1, size.Gateways/baselineBatches)} {
		ctx, cancel := context.WithTimeout(context.Background(), fullTimeout)
		defer cancel()
		b := Baseline{Size: size, Batch: batch, Changes: baselineChanges}
		result, err := b.Play(ctx)
		if err != nil {
			t.Error(err)
			continue
		}
		for _, fault := range result.Broken {
			t.Log("restart on each change: ", fault)
		}
		report.add("| %d gateways at a time | %v | %v | %s | %d |\n", batch, result.Each, result.Changes, result.Requests,
			result.Lost)
	}
}

func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}

func appendTo(t *testing.T, path, text string) {
	w, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	_, err = w.WriteString(text)
	if err != nil {
		t.Error(err)
	}
}
