package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"ravensill/configsync"
	"ravensill/internal/golden"
)

// collidingNames returns two names of quota plans with the same ID.
func collidingNames() (first, second string) {
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

// A change that is invalid must be rejected as a whole: the error names the resource and key, and none of the valid
// changes in the same call takes effect.
func TestLiveApplyRejectsInvalidChange(t *testing.T) {
	first, second := collidingNames()
	live := NewLive(fleetConfig(t))
	if _, err := live.Apply(document("plans/"+first+` {"rate":1}`), true); err != nil {
		t.Fatal(err)
	}
	if _, err := live.Apply(changesOf("plans/"+first+" "), false); err != nil {
		t.Fatal(err)
	}
	valid := changesOf(`plans/beside {"rate":7}`, `classes/beside {"hard_limit_us":7,"effect":"unsafe"}`)
	var trace strings.Builder
	for _, line := range []string{
		`plans/gold {"rate":-1}`,
		`plans/gold {"rate":"1"}`,
		`plans/gold {"rate":null}`,
		`plans/gold {"rate":1e13}`,
		`plans/gold {"rate":1e999}`,
		`plans/gold {"rat":1}`,
		`plans/gold {"rate":1,"rate":2}`,
		`plans/gold {"name":"silver"}`,
		`plans/gold [1]`,
		`plans/gold {"rate":1`,
		`plans/ {}`,
		`plans/a,b {}`,
		"plans/" + second + ` {"rate":1}`,
		`classes/lookup {"effect":"odd","hard_limit_us":1}`,
		`classes/lookup {"target_us":1}`,
		`classes/lookup {"hard_limit_us":1,"stream":1}`,
		`classes/lookup {"hard_limit_us":1,"retry":true}`,
		`members/01 "10.3.0.9:1"`,
		`members/-1 "10.3.0.9:1"`,
		`members/65536 "10.3.0.9:1"`,
		`members/3 "10.3.0.9:1"`,
		`members/2 "10.3.0.1:7946"`,
		`members/2 "10.3.0.9"`,
		`members/2 7`,
		`members/2 "10.3.0.9:0"`,
		`members/0 `,
		`members/1 `,
		`limits {"peer_messages":false}`,
		`limits {"probes":true}`,
		`limits {"max_attempts":true}`,
		`limits {"most":1}`,
		`routes/a {}`,
	} {
		before := fmt.Sprintf("%+v", live)
		revision, err := live.Apply(slices.Concat(valid, changesOf(line)), false)
		var resourceError *ResourceError
		if !errors.As(err, &resourceError) || revision != nil {
			t.Errorf("%s: %v, want a *ResourceError and no revision", line, err)
			continue
		}
		if after := fmt.Sprintf("%+v", live); after != before {
			t.Errorf("%s: rejected, but the configuration in force has changed from\n%s\nto\n%s", line, before, after)
		}
		fmt.Fprintf(&trace, "%s\n  %v (of %q)\n", line, err, resourceError.Key)
	}
	golden.Check(t, strings.NewReplacer(first, "FIRST", second, "SECOND").Replace(trace.String()))
}

func TestLiveApplyRejectsInvalidDocument(t *testing.T) {
	live := NewLive(fleetConfig(t))
	var trace strings.Builder
	for _, invalid := range [][]configsync.Change{
		nil,
		changesOf(`plans/gold {}`),
		changesOf(`classes/lookup {"hard_limit_us":1}`),
		document(`plans/gold {}`),
		document()[:5],
	} {
		_, err := live.Apply(invalid, true)
		fmt.Fprintf(&trace, "complete %.99q\n  %v\n", invalid, err)
	}
	golden.Check(t, trace.String())
}
