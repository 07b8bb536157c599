package logic_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/config"
	"ravensill/logic"
)

var (
	effectWords = []string{"safe", "keyed", "unsafe"}
	groupWords  = []string{"all", "zone", "cell"}
)

// ruleSettings is one combination of the settings that operators vary.
type ruleSettings struct {
	effect    int // index in effectWords
	group     int // index in groupWords
	window    int // microseconds, like the next two
	timeout   int
	objective int
	hedging   bool
	verbatim  bool // whether the decisions get the settings without adjustments
}

// ruleCombinations is the number of combinations.
const ruleCombinations = 3 * 3 * 3 * 2 * 2 * 2 * 2

// ruleCombination returns combination i.
func ruleCombination(i int) ruleSettings {
	draw := func(count int) int {
		index := i % count
		i /= count
		return index
	}
	s := ruleSettings{effect: draw(3), group: draw(3)}
	s.window = []int{0, 250_000, 10_000_000}[draw(3)]
	s.timeout = []int{150_000, 2_000_000}[draw(2)]
	s.objective = s.timeout * []int{1, 8}[draw(2)] / 4
	s.hedging = draw(2) == 1
	s.verbatim = draw(2) == 1
	return s
}

func (s ruleSettings) text() string {
	return fmt.Sprintf(`{"balancers":1,
		"limits":{"max_attempts":3,"parallel_tries":%t,"cancelling":true,"retry_after":true},
		"family_info":{"shared_counter":true,"count_wait_us":30000},
		"profiles":[{"name":"a","effect":%q,"group":%q,"window_us":%d,"target_us":%d,"hard_limit_us":%d,
			"late_worth":0.5,"points":1}],
		"plans":[{"name":"p","rate":50,"burst":50},{"name":"q","parallel":3},{"name":"r"}]}`,
		s.hedging, effectWords[s.effect], groupWords[s.group], s.window, s.objective, s.timeout)
}

// class returns the request class as the settings state it.
func (s ruleSettings) class() gateway.RequestClass {
	return gateway.RequestClass{
		Effect:           gateway.Effect(s.effect),
		Group:            gateway.DedupGroup(s.group),
		DedupWindow:      time.Duration(s.window) * time.Microsecond,
		LatencyObjective: time.Duration(s.objective) * time.Microsecond,
		Timeout:          time.Duration(s.timeout) * time.Microsecond,
		Value:            1,
		LateValue:        0.5,
	}
}

// kind names the settings that decide which answers must occur.
func (s ruleSettings) kind() string {
	return fmt.Sprintf("%s %s %d", effectWords[s.effect], groupWords[s.group], s.window)
}

// checkRules runs the decisions under one combination of settings.
func checkRules(t *testing.T, i int) *ruleChecker {
	combination := ruleCombination(i)
	text := combination.text()
	settings, err := config.DecodeSettings(text)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	if combination.verbatim {
		settings.Classes[0] = combination.class()
		settings.Limits.Hedging = combination.hedging
	}
	checker := &ruleChecker{
		T:          t,
		settings:   text,
		class:      combination.class(),
		limits:     settings.Limits,
		now:        gateway.Time(100_000 * ms),
		random:     rand.New(rand.NewSource(int64(i))),
		hostStates: map[uint32]gateway.EndpointState{},
	}
	g := logic.New(uint64(i), settings.Membership, settings.Classes, settings.Plans, settings.Limits, settings.SlowStart,
		settings.LoadReport)
	checker.run(g)
	if left := g.Gauges(); left.InFlight != 0 || left.OpenRequests != 0 {
		t.Errorf("%s: %d attempts and %d requests are left with none open", text, left.InFlight, left.OpenRequests)
	}
	return checker
}

// Under every combination of settings that operators vary the rules hold, whatever hosts, clients and lists do. They
// also hold for decisions that get the settings without the adjustments of package config.
func TestRulesHoldForAllSettings(t *testing.T) {
	sums := map[string]*ruleChecker{}
	for i := range ruleCombinations {
		checker := checkRules(t, i)
		kind := ruleCombination(i).kind()
		if sums[kind] == nil {
			sums[kind] = &ruleChecker{}
		}
		sum := sums[kind]
		sum.repeats += checker.repeats
		sum.resends += checker.resends
		for answer, count := range checker.answers {
			sum.answers[answer] += count
		}
	}
	for kind, sum := range sums { // a run without these answers would show nothing
		repeatable := kind == "safe all 0" || kind == "keyed all 10000000"
		answered := sum.answers[rejected] > 0 && sum.answers[succeeded] > 0 && sum.resends > 0
		if !answered || repeatable && sum.repeats == 0 {
			t.Errorf("%s: %d rejected, %d failed, %d succeeded; %d resent, %d repeated", kind, sum.answers[rejected],
				sum.answers[failed], sum.answers[succeeded], sum.resends, sum.repeats)
		}
	}
}
