package config

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"ravensill/configsync"
	"ravensill/internal/golden"
)

// fleetFile is the file of the second of two gateways that follow publishers.
const fleetFile = `{"listen":"10.0.0.4:6379","discovery":"10.2.0.1:8500","peer_listen":"10.0.0.4:7946",
 "peers":["10.3.0.1:7946","10.3.0.2:7946"],"configuration":{"publishers":["10.5.0.1:7500"],"dir":"/var/lib/ravensill"},
 "settings":{"balancers":2,"position":1,"limits":{"peer_messages":true,"max_attempts":3,"retry_after":true},
 "profiles":[{"name":"lookup","hard_limit_us":2500}],"plans":[{"name":"gold","rate":2,"burst":4}]}}`

func fleetConfig(t *testing.T) *Config {
	t.Helper()
	cfg, err := loadText(t, fleetFile, nil)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// changesOf returns the changes that lines describe, each a resource, a space and a value. An empty value removes the
// resource.
func changesOf(lines ...string) (changes []configsync.Change) {
	for _, line := range lines {
		resource, value, _ := strings.Cut(line, " ")
		changes = append(changes, changeOf(resource, value))
	}
	return changes
}

func changeOf(resource, value string) configsync.Change {
	return configsync.Change{Resource: configsync.Resource(resource), Value: []byte(value)}
}

// document returns a complete document that the gateway of fleetConfig accepts, with extra lines.
func document(extraLines ...string) []configsync.Change {
	lines := []string{
		`plans/gold {"rate":2,"burst":4}`,
		`plans/silver {"rate":1,"burst":1}`,
		`classes/lookup {"hard_limit_us":2500}`,
		`classes/order {"effect":"unsafe","hard_limit_us":9000,"target_us":400}`,
		`members/0 "10.3.0.1:7946"`,
		`members/1 "10.3.0.2:7946"`,
		`limits {"max_attempts":2,"parallel_tries":true}`,
	}
	return changesOf(append(lines, extraLines...)...)
}

// The golden file has the revision that each step of a gateway's configuration leads to.
func TestLiveApplyReturnsRevision(t *testing.T) {
	live := NewLive(fleetConfig(t))
	var trace strings.Builder
	for _, step := range []struct {
		title    string
		changes  []configsync.Change
		complete bool
	}{
		{"the first version", document(), true},
		{"the same again", document(), true},
		{
			"a plan and a class removed, the limits follow the class",
			changesOf(`plans/gold `, `classes/order `),
			false,
		},
		{"a new plan does not get the index", changesOf(`plans/bronze {"rate":3,"burst":3}`), false},
		{"the name returns with its index", changesOf(`plans/gold {"name":"gold","rate":5,"burst":5}`), false},
		{
			"adjusted",
			changesOf(`plans/bronze {"burst":3,"parallel":2}`, `classes/lookup {"hard_limit_us":10,"target_us":20}`),
			false,
		},
		{
			"addresses swapped, one member more",
			changesOf(`members/0 "10.3.0.2:7946"`, `members/1 "10.3.0.1:7946"`, `members/2 "10.3.0.3:7946"`),
			false,
		},
		{"one member less", changesOf(`members/2 `, `plans/never-there `), false},
		{"limits and members no longer named: as in the file", changesOf(`limits `, `members/0 `, `members/1 `), false},
		{
			"complete: what is not named is removed",
			changesOf(`plans/silver {"rate":1,"burst":1}`, `classes/pay {"hard_limit_us":5}`),
			true,
		},
	} {
		revision, err := live.Apply(step.changes, step.complete)
		if err != nil {
			t.Fatalf("%s: %v", step.title, err)
		}
		fmt.Fprintln(&trace, step.title)
		writeRevision(&trace, revision)
	}
	golden.Check(t, trace.String())
}

func writeRevision(trace *strings.Builder, r *Revision) {
	limits := "unchanged"
	if r.Update.Limits != nil {
		limits = fmt.Sprintf("%+v", *r.Update.Limits)
	}
	fmt.Fprintf(trace, "  plans %q %+v\n", r.PlanNames, r.Update.Plans)
	fmt.Fprintf(trace, "  classes %+v\n", r.Classes)
	fmt.Fprintf(trace, "  module's %+v\n", r.Update.Classes)
	fmt.Fprintf(trace, "  limits %s\n", limits)
	fmt.Fprintf(trace, "  members %d %+v\n", r.Update.Members, r.Members)
	fmt.Fprintf(trace, "  in force %d %d %d\n", r.PlanCount, r.ClassCount, r.MemberCount)
	fmt.Fprintf(trace, "  adjusted %q\n", r.Adjusted)
}

// Documents must not change what other parts of a gateway's file depend on: the pool section on the number of members
// and the longest timeout, and gossip on an address at which this gateway can be reached.
func TestLiveCheckRejectsChangeOfFixedSetting(t *testing.T) {
	withPool := fleetConfig(t)
	withPool.Pool = &Pool{}
	withoutPeers := fleetConfig(t)
	withoutPeers.Membership.Index = 0
	withoutPeers.Membership.Count = 1
	withoutPeers.Peers = nil
	withoutPeers.PeerListen = netip.AddrPort{}
	for _, test := range []struct {
		cfg     *Config
		changes []configsync.Change
		want    error
	}{
		{
			withPool,
			changesOf(`members/0 "10.3.0.1:1"`, `members/1 "10.3.0.2:1"`, `members/2 "10.3.0.3:1"`),
			errFixedMemberCount,
		},
		{withPool, changesOf(`classes/long {"hard_limit_us":2501}`), errTimeoutTooLong},
		{
			withPool,
			changesOf(`classes/short {"hard_limit_us":2500}`, `members/0 "10.3.0.8:1"`, `members/1 "10.3.0.9:1"`),
			nil,
		},
		{withoutPeers, changesOf(`members/0 "10.3.0.1:1"`, `members/1 "10.3.0.2:1"`), errNoPeerListen},
		{withoutPeers, changesOf(`members/0 "10.3.0.1:1"`), nil},
	} {
		err := NewLive(test.cfg).Check(test.changes, false)
		if !errors.Is(err, test.want) {
			t.Errorf("%q: %v, want %v", test.changes, err, test.want)
		}
	}
}

// A publisher, which has no gateway's file, must reject the changes that gateways would reject.
func TestLiveCheckerRejectsInvalidChange(t *testing.T) {
	checker := NewLiveChecker()
	if err := checker.Check(changesOf(`limits {}`), false); !errors.Is(err, errLastPlan) {
		t.Error(err)
	}
	if _, err := checker.Apply(document(), true); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		changes []configsync.Change
		want    error
	}{
		{changesOf(`members/1 `), nil}, // allowed, since a publisher is not a member itself
		{changesOf(`members/0 `), errMemberGap},
		{changesOf(`plans/gold `), nil},
		{changesOf(`plans/gold `, `plans/silver `), errLastPlan},
		{changesOf(`classes/lookup `, `classes/order `), errLastClass},
		{changesOf(`limits {"probes":true}`), errFixedKey},
	} {
		err := checker.Check(test.changes, false)
		if !errors.Is(err, test.want) {
			t.Errorf("%q: %v, want %v", test.changes, err, test.want)
		}
	}
}
