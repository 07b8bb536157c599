package config

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"ravensill/configsync"
	"ravensill/gateway"
	"ravensill/internal/golden"
)

// fleetFile is the file of the second of two gateways that follow publishers.
const fleetFile = `{"listen":"10.0.0.4:6379","discovery":"10.2.0.1:8500","peer_listen":"10.0.0.4:7946",
 "peers":["10.3.0.1:7946","10.3.0.2:7946"],"configuration":{"publishers":["10.5.0.1:7500"],"dir":"/var/lib/ravensill"},
 "settings":{"balancers":2,"position":1,"limits":{"peer_messages":true,"max_attempts":3,"retry_after":true},
 "profiles":[{"name":"lookup","hard_limit_us":2500}],"plans":[{"name":"gold","rate":2,"burst":4}]}}`

func fleetConfig(t testing.TB) *Config {
	cfg, err := load(t.(*testing.T), fleetFile, nil)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// changesOf reads changes from lines of a resource and its value; one without a value is removed.
func changesOf(lines ...string) (changes []configsync.Change) {
	for _, line := range lines {
		resource, value, _ := strings.Cut(line, " ")
		changes = append(changes, configsync.Change{Resource: configsync.Resource(resource), Value: []byte(value)})
	}
	return changes
}

// document is one that fleetConfig's gateway takes.
func document(more ...string) []configsync.Change {
	return changesOf(append([]string{`plans/gold {"rate":2,"burst":4}`, `plans/silver {"rate":1,"burst":1}`,
		`classes/lookup {"hard_limit_us":2500}`, `classes/order {"effect":"unsafe","hard_limit_us":9000,"target_us":400}`,
		`members/0 "10.3.0.1:7946"`, `members/1 "10.3.0.2:7946"`, `limits {"max_attempts":2,"parallel_tries":true}`}, more...)...)
}

// TestLiveApply follows one gateway through changes; the golden file has each revision.
func TestLiveApply(t *testing.T) {
	live := NewLive(fleetConfig(t))
	var all strings.Builder
	for _, step := range []struct {
		title   string
		changes []configsync.Change
		whole   bool
	}{
		{"the first version", document(), true},
		{"the same again", document(), true},
		{"a plan and a class removed, the limits follow the class", changesOf(`plans/gold `, `classes/order `), false},
		{"a new plan does not get the index", changesOf(`plans/bronze {"rate":3,"burst":3}`), false},
		{"the name returns with its index", changesOf(`plans/gold {"name":"gold","rate":5,"burst":5}`), false},
		{"not taken by its letter", changesOf(`plans/bronze {"burst":3,"parallel":2}`, `classes/lookup {"hard_limit_us":10,"target_us":20}`), false},
		{"addresses swapped, one member more", changesOf(`members/0 "10.3.0.2:7946"`, `members/1 "10.3.0.1:7946"`, `members/2 "10.3.0.3:7946"`), false},
		{"one member less", changesOf(`members/2 `, `plans/never-there `), false},
		{"limits and members no more named: as in the file", changesOf(`limits `, `members/0 `, `members/1 `), false},
		{"whole: what is not named is removed", changesOf(`plans/silver {"rate":1,"burst":1}`, `classes/pay {"hard_limit_us":5}`), true},
	} {
		revision, err := live.Apply(step.changes, step.whole)
		if err != nil {
			t.Fatalf("%s: %v", step.title, err)
		}
		limits := "unchanged"
		if revision.Update.Limits != nil {
			limits = fmt.Sprintf("%+v", *revision.Update.Limits)
		}
		fmt.Fprintf(&all, "%s\n  plans %q %+v\n  classes %+v\n  module's %+v\n  limits %s\n  members %d %+v\n  in force %d %d %d\n  adjusted %q\n",
			step.title, revision.PlanNames, revision.Update.Plans, revision.Classes, revision.Update.Classes, limits,
			revision.Update.Members, revision.Members, revision.PlanCount, revision.ClassCount, revision.MemberCount, revision.Adjusted)
	}
	golden.Check(t, all.String())
}

// colliding gives two names of one identity.
func colliding() (first, second string) {
	names := map[uint32]string{}
	for i := 0; ; i++ {
		name := fmt.Sprint("plan-", i)
		id := configsync.PlanID(name)
		if names[id] != "" {
			return names[id], name
		}
		names[id] = name
	}
}

// TestLiveRefuses: each refusal names resource and key, and leaves all as it was, though sound changes stand beside.
func TestLiveRefuses(t *testing.T) {
	first, second := colliding()
	live := NewLive(fleetConfig(t))
	if _, err := live.Apply(document("plans/"+first+` {"rate":1}`), true); err != nil {
		t.Fatal(err)
	}
	if _, err := live.Apply(changesOf("plans/"+first+" "), false); err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, line := range []string{`plans/gold {"rate":-1}`, `plans/gold {"rate":"1"}`, `plans/gold {"rate":null}`, `plans/gold {"rate":1e13}`,
		`plans/gold {"rate":1e999}`, `plans/gold {"rat":1}`, `plans/gold {"rate":1,"rate":2}`, `plans/gold {"name":"silver"}`, `plans/gold [1]`,
		`plans/gold {"rate":1`, `plans/ {}`, `plans/a,b {}`, "plans/" + second + ` {"rate":1}`,
		`classes/lookup {"effect":"odd","hard_limit_us":1}`, `classes/lookup {"target_us":1}`, `classes/lookup {"hard_limit_us":1,"stream":1}`,
		`classes/lookup {"hard_limit_us":1,"retry":true}`, `members/01 "10.3.0.9:1"`, `members/-1 "10.3.0.9:1"`, `members/65536 "10.3.0.9:1"`,
		`members/3 "10.3.0.9:1"`, `members/2 "10.3.0.1:7946"`, `members/2 "10.3.0.9"`, `members/2 7`, `members/2 "10.3.0.9:0"`, `members/0 `,
		`members/1 `, `limits {"peer_messages":false}`, `limits {"probes":true}`, `limits {"max_attempts":true}`, `limits {"most":1}`, `routes/a {}`} {
		before := fmt.Sprintf("%+v", live)
		changes := append(changesOf(`plans/beside {"rate":7}`, `classes/beside {"hard_limit_us":7,"effect":"unsafe"}`), changesOf(line)...)
		revision, err := live.Apply(changes, false)
		var refused *ResourceError
		if !errors.As(err, &refused) || revision != nil {
			t.Errorf("%s: %v", line, err)
			continue
		}
		if after := fmt.Sprintf("%+v", live); after != before {
			t.Errorf("%s: refused, and changed\n%s\n%s", line, before, after)
		}
		fmt.Fprintf(&all, "%s\n  %v (of %q)\n", line, err, refused.Key)
	}
	for _, whole := range [][]configsync.Change{nil, changesOf(`plans/gold {}`), changesOf(`classes/lookup {"hard_limit_us":1}`),
		document(`plans/gold {}`), document()[:5]} {
		_, err := live.Apply(whole, true)
		fmt.Fprintf(&all, "whole %.99q\n  %v\n", whole, err)
	}
	golden.Check(t, strings.NewReplacer(first, "FIRST", second, "SECOND").Replace(all.String()))
}

// TestLiveFixedByFile: what a gateway's other sections count on can't change.
func TestLiveFixedByFile(t *testing.T) {
	pooled := fleetConfig(t)
	pooled.Pool = &Pool{}
	alone := fleetConfig(t)
	alone.Membership.Index, alone.Membership.Count, alone.Peers = 0, 1, nil
	alone.PeerListen = fleetConfig(t).Listen
	alone.PeerListen = alone.Counter // the zero address
	for _, x := range []struct {
		cfg     *Config
		changes []configsync.Change
		want    error
	}{
		{pooled, changesOf(`members/0 "10.3.0.1:1"`, `members/1 "10.3.0.2:1"`, `members/2 "10.3.0.3:1"`), errFixedSize},
		{pooled, changesOf(`classes/long {"hard_limit_us":2501}`), errTooLong},
		{pooled, changesOf(`classes/short {"hard_limit_us":2500}`, `members/0 "10.3.0.8:1"`, `members/1 "10.3.0.9:1"`), nil},
		{alone, changesOf(`members/0 "10.3.0.1:1"`, `members/1 "10.3.0.2:1"`), errNoListen},
		{alone, changesOf(`members/0 "10.3.0.1:1"`), nil},
	} {
		if err := NewLive(x.cfg).Check(x.changes, false); !errors.Is(err, x.want) {
			t.Errorf("%q: %v, want %v", x.changes, err, x.want)
		}
	}
}

// TestLiveChecker: a publisher, which has no gateway's file, refuses what gateways refuse.
func TestLiveChecker(t *testing.T) {
	checker := NewLiveChecker()
	if err := checker.Check(changesOf(`limits {}`), false); !errors.Is(err, errLastPlan) {
		t.Error(err)
	}
	if _, err := checker.Apply(document(), true); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		changes []configsync.Change
		want    error
	}{
		{changesOf(`members/1 `), nil}, // of its own it has none
		{changesOf(`members/0 `), errGap},
		{changesOf(`plans/gold `), nil},
		{changesOf(`plans/gold `, `plans/silver `), errLastPlan},
		{changesOf(`classes/lookup `, `classes/order `), errLastClass},
		{changesOf(`limits {"probes":true}`), errFixedKey},
	} {
		if err := checker.Check(x.changes, false); !errors.Is(err, x.want) {
			t.Errorf("%q: %v, want %v", x.changes, err, x.want)
		}
	}
}

// TestRestoreHeldVersion: a start with a held document is in force as if the document had come later, and goes on from there.
func TestRestoreHeldVersion(t *testing.T) {
	base := fleetConfig(t)
	restored, live, err := Restore(base, document(`members/2 "10.3.0.3:7946"`))
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	fmt.Fprintf(&all, "%+v\npeers %v\n", *restored.Settings, restored.Peers)
	golden.Check(t, all.String())
	if !reflect.DeepEqual(base, fleetConfig(t)) {
		t.Error("the file's settings have changed")
	}
	revision, err := live.Apply(changesOf(`plans/gold {"rate":9,"burst":9}`, `limits `), false)
	if err != nil {
		t.Fatal(err)
	}
	if update := revision.Update.Plans[0]; restored.PlanNames[update.Index] != "gold" || *revision.Update.Limits != base.Limits {
		t.Errorf("%+v", revision)
	}
	if _, _, err := Restore(base, document(`plans/gold {}`)); !errors.Is(err, errRepeated) {
		t.Error(err)
	}
}

// TestLiveCatchesUp: whatever way the versions came, the settings in force are those of the last document alone.
func TestLiveCatchesUp(t *testing.T) {
	chance := rand.New(rand.NewPCG(3, 8))
	live, current := NewLive(fleetConfig(t)), map[configsync.Resource]string{}
	for _, change := range document() {
		current[change.Resource] = string(change.Value)
	}
	if _, err := live.Apply(document(), true); err != nil {
		t.Fatal(err)
	}
	for range 2000 {
		var changes []configsync.Change
		for range 1 + chance.IntN(3) {
			resource, value := drawChange(chance, current)
			changes = append(changes, configsync.Change{Resource: resource, Value: []byte(value)})
		}
		if _, err := live.Apply(changes, false); err != nil {
			continue
		}
		for _, change := range changes {
			if current[change.Resource] = string(change.Value); change.Removed() {
				delete(current, change.Resource)
			}
		}
	}
	var last []configsync.Change
	for resource, value := range current {
		last = append(last, configsync.Change{Resource: resource, Value: []byte(value)})
	}
	fresh := NewLive(fleetConfig(t))
	if _, err := fresh.Apply(last, true); err != nil {
		t.Fatal(err)
	}
	if got, want := inForce(live), inForce(fresh); !reflect.DeepEqual(got, want) {
		t.Errorf("step by step %v, at once %v", got, want)
	}
}

func drawChange(chance *rand.Rand, current map[configsync.Resource]string) (resource configsync.Resource, value string) {
	removed := chance.IntN(3) == 0
	switch chance.IntN(4) {
	case 0:
		resource, value = configsync.Resource(fmt.Sprint("plans/", chance.IntN(6))), fmt.Sprintf(`{"rate":%d}`, chance.IntN(9))
	case 1:
		effects := []string{"safe", "keyed", "unsafe"}
		resource = configsync.Resource(fmt.Sprint("classes/", chance.IntN(6)))
		value = fmt.Sprintf(`{"hard_limit_us":9,"effect":"%s"}`, effects[chance.IntN(3)])
	case 2:
		resource, value = configsync.Resource(fmt.Sprint("members/", chance.IntN(6))), fmt.Sprintf(`"10.3.0.1:%d"`, 1+chance.IntN(9))
	default:
		resource, value = configsync.LimitsName, fmt.Sprintf(`{"max_attempts":%d,"parallel_tries":true}`, chance.IntN(9))
	}
	if removed {
		return resource, ""
	}
	return resource, value
}

// inForce describes settings by name, whatever their indices.
func inForce(live *Live) map[string]any {
	all := map[string]any{"limits": live.limits}
	for _, entry := range live.plans.entries {
		if !entry.removed {
			all["plan "+entry.name] = entry.value
		}
	}
	for _, entry := range live.classes.entries {
		if !entry.removed {
			all["class "+entry.name] = entry.value
		}
	}
	count, addresses := live.members.inForce()
	all["members"] = fmt.Sprint(count, addresses)
	return all
}

// FuzzLiveApply: whatever a resource is called and holds, it is taken or refused by name, and a refusal changes nothing.
func FuzzLiveApply(f *testing.F) {
	for _, change := range document() {
		f.Add(string(change.Resource), string(change.Value))
	}
	f.Add("members/-0", `"::1"`)
	f.Add("plans/gold", `{"rate":{},"rate":[1e308,null],"name":"\u0000"}`)
	f.Fuzz(func(t *testing.T, resource, value string) {
		live := NewLiveChecker()
		if _, err := live.Apply(document(), true); err != nil {
			t.Fatal(err)
		}
		before := fmt.Sprintf("%+v", live)
		_, err := live.Apply([]configsync.Change{{Resource: configsync.Resource(resource), Value: []byte(value)}}, false)
		var refused *ResourceError
		if err != nil && (!errors.As(err, &refused) || before != fmt.Sprintf("%+v", live)) {
			t.Errorf("%q %q: %v", resource, value, err)
		}
	})
}

// liveOf makes a Live of so many plans.
func liveOf(t testing.TB, plans int) *Live {
	live := NewLiveChecker()
	changes := changesOf(`classes/lookup {"hard_limit_us":2500}`)
	for i := range plans {
		changes = append(changes, changesOf(fmt.Sprintf(`plans/tenant-%d {"rate":2,"burst":4}`, i))...)
	}
	if _, err := live.Apply(changes, true); err != nil {
		t.Fatal(err)
	}
	return live
}

// changeOne changes one of the plans, another way each time.
func changeOne(t testing.TB, live *Live, round int) {
	change := changesOf(fmt.Sprintf(`plans/tenant-7 {"rate":%d,"burst":4}`, 1+round%2))
	if _, err := live.Apply(change, false); err != nil {
		t.Fatal(err)
	}
}

// TestLiveApplyCostsWhatChanges: one change costs as many allocations among 20,000 plans as among 50.
func TestLiveApplyCostsWhatChanges(t *testing.T) {
	var allocations [2]float64
	for i, plans := range []int{50, 20_000} {
		live, round := liveOf(t, plans), 0
		allocations[i] = testing.AllocsPerRun(100, func() {
			changeOne(t, live, round)
			round++
		})
	}
	if allocations[0] != allocations[1] {
		t.Errorf("allocations of one change: %v among 50 plans, %v among 20,000", allocations[0], allocations[1])
	}
}

func BenchmarkLiveApply(b *testing.B) {
	for _, plans := range []int{1000, 54_000} {
		live := liveOf(b, plans)
		b.Run(fmt.Sprint("plans=", plans), func(b *testing.B) {
			b.ReportAllocs()
			for round := range b.N {
				changeOne(b, live, round)
			}
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	base := &Config{Settings: &Settings{Membership: gateway.Membership{Count: 1}}}
	changes := changesOf(`classes/lookup {"hard_limit_us":2500}`)
	for i := range 54_000 {
		changes = append(changes, changesOf(fmt.Sprintf(`plans/tenant-%d {"rate":2,"burst":4}`, i))...)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := Restore(base, changes); err != nil {
			b.Fatal(err)
		}
	}
}
