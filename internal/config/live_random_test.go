package config

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"ravensill/configsync"
)

// After any sequence of changes, the configuration in force must be the same as after applying the resulting document
// to a new Live at once. Otherwise gateways that follow the changes would differ from those that start later.
func TestLiveAfterChangesEqualsLiveOfDocument(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 8))
	live := NewLive(fleetConfig(t))
	current := map[configsync.Resource]string{}
	for _, change := range document() {
		current[change.Resource] = string(change.Value)
	}
	if _, err := live.Apply(document(), true); err != nil {
		t.Fatal(err)
	}
	for range 2000 {
		var changes []configsync.Change
		for range 1 + random.IntN(3) {
			changes = append(changes, drawChange(random))
		}
		if _, err := live.Apply(changes, false); err != nil {
			continue
		}
		for _, change := range changes {
			current[change.Resource] = string(change.Value)
			if change.IsRemoval() {
				delete(current, change.Resource)
			}
		}
	}
	var document []configsync.Change
	for resource, value := range current {
		document = append(document, changeOf(string(resource), value))
	}
	fresh := NewLive(fleetConfig(t))
	if _, err := fresh.Apply(document, true); err != nil {
		t.Fatal(err)
	}
	got := inForceByName(live)
	want := inForceByName(fresh)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("after the changes %v, by the document at once %v", got, want)
	}
}

// drawChange returns a random change of one of a few resources. One change in three is a removal.
func drawChange(random *rand.Rand) configsync.Change {
	removed := random.IntN(3) == 0
	var resource, value string
	switch random.IntN(4) {
	case 0:
		resource = fmt.Sprint("plans/", random.IntN(6))
		value = fmt.Sprintf(`{"rate":%d}`, random.IntN(9))
	case 1:
		effects := []string{"safe", "keyed", "unsafe"}
		resource = fmt.Sprint("classes/", random.IntN(6))
		value = fmt.Sprintf(`{"hard_limit_us":9,"effect":"%s"}`, effects[random.IntN(3)])
	case 2:
		resource = fmt.Sprint("members/", random.IntN(6))
		value = fmt.Sprintf(`"10.3.0.1:%d"`, 1+random.IntN(9))
	default:
		resource = configsync.LimitsResource
		value = fmt.Sprintf(`{"max_attempts":%d,"parallel_tries":true}`, random.IntN(9))
	}
	if removed {
		value = ""
	}
	return changeOf(resource, value)
}

// inForceByName describes the configuration in force by name, without the indices, which depend on its history.
func inForceByName(live *Live) map[string]any {
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

// Any resource and value must be either accepted, or rejected with a *ResourceError and without a change.
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
		_, err := live.Apply([]configsync.Change{changeOf(resource, value)}, false)
		var resourceError *ResourceError
		if err != nil && (!errors.As(err, &resourceError) || before != fmt.Sprintf("%+v", live)) {
			t.Errorf("%q %q: %v", resource, value, err)
		}
	})
}
