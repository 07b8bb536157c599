package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"ravensill/internal/golden"
)

// A gateway that starts with a stored document must have the same configuration as one that receives it later, and
// accept changes to it.
func TestRestoreAppliesStoredDocument(t *testing.T) {
	base := fleetConfig(t)
	restored, live, err := Restore(base, document(`members/2 "10.3.0.3:7946"`))
	if err != nil {
		t.Fatal(err)
	}
	var trace strings.Builder
	fmt.Fprintf(&trace, "%+v\npeers %v\n", *restored.Settings, restored.Peers)
	golden.Check(t, trace.String())
	if !reflect.DeepEqual(base, fleetConfig(t)) {
		t.Error("the file's settings have changed")
	}
	revision, err := live.Apply(changesOf(`plans/gold {"rate":9,"burst":9}`, `limits `), false)
	if err != nil {
		t.Fatal(err)
	}
	update := revision.Update
	if restored.PlanNames[update.Plans[0].Index] != "gold" || *update.Limits != base.Limits {
		t.Errorf("a change after the start leads to %+v", revision)
	}
	if _, _, err := Restore(base, document(`plans/gold {}`)); !errors.Is(err, errRepeated) {
		t.Error(err)
	}
}
