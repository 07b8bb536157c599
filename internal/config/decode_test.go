package config

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"ravensill/gateway"
)

// manyPlans returns settings of quota plans and request classes, each with keys that are adjusted.
func manyPlans(plans, classes int) string {
	var text strings.Builder
	text.WriteString(`{"balancers":1,"limits":{"parallel_tries":true},"profiles":[`)
	for i := range classes {
		fmt.Fprintf(&text, `{"name":"class-%d","effect":"keyed","window_us":0,"target_us":9,"hard_limit_us":5},`, i)
	}
	text.WriteString(`{"name":"class-0","effect":"unsafe","hard_limit_us":5,"late_worth":2}],"plans":[`)
	for i := range plans {
		fmt.Fprintf(&text, `{"name":"plan-%d","rate":0,"burst":2,"cap_depth":1},`, i)
	}
	text.WriteString(`{"name":"plan-0","rate":4,"burst":2}]}`)
	return text.String()
}

// bytesScanned returns the bytes that decoding settings of many plans and classes may scan.
func bytesScanned(t *testing.T, plans, classes int) float64 {
	t.Helper()
	reader, err := newObjectReader("", manyPlans(plans, classes))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := reader.settings(); err != nil {
		t.Fatal(err)
	}
	return float64(reader.scanned)
}

// Sixteen times the plans or classes cost little more than sixteen times the bytes scanned.
func TestDecodeCostIsLinear(t *testing.T) {
	const few, times, margin = 200, 16, 1.25
	growth := bytesScanned(t, times*few, 1) / bytesScanned(t, few, 1)
	if growth > margin*times {
		t.Errorf("%d times the plans: %.1f times the bytes", times, growth)
	}
	growth = bytesScanned(t, 1, times*few) / bytesScanned(t, 1, few)
	if growth > margin*times {
		t.Errorf("%d times the classes: %.1f times the bytes", times, growth)
	}
}

// A plan or class has the same value and adjustments by itself as in the list of the settings.
func TestDecodeOfOneResourceEqualsThatOfList(t *testing.T) {
	reader, err := newObjectReader("", manyPlans(2, 1))
	if err != nil {
		t.Fatal(err)
	}
	settings, err := reader.settings()
	if err != nil {
		t.Fatal(err)
	}
	var adjusted []Adjustment
	for i, raw := range reader.get("plans").Array() {
		plan, name, ofPlan, err := DecodePlan(elementPath("plans", i), raw.Raw)
		if err != nil || plan != settings.Plans[i] || name != settings.PlanNames[i] {
			t.Errorf("plan %d: %+v %q, %v", i, plan, name, err)
		}
		adjusted = append(adjusted, ofPlan...)
	}
	limits := gateway.Limits{Hedging: true}
	for i, raw := range reader.get("profiles").Array() {
		class, name, ofClass, err := DecodeRequestClass(elementPath("profiles", i), raw.Raw, &limits)
		if err != nil || class != settings.Classes[i] || name != settings.ClassNames[i] {
			t.Errorf("class %d: %+v %q, %v", i, class, name, err)
		}
		adjusted = append(adjusted, ofClass...)
	}
	ofOne, ofList := settings.Adjusted[:len(adjusted)], settings.Adjusted[len(adjusted):]
	if !reflect.DeepEqual(adjusted, ofOne) || limits.Hedging {
		t.Errorf("adjusted %q, in the settings %q", adjusted, settings.Adjusted)
	}
	repeated := []string{"profiles.1.name", "plans.2.name"}
	for i, adjustment := range ofList {
		if adjustment.Key != repeated[i] {
			t.Errorf("adjusted %q, want %s", adjustment, repeated[i])
		}
	}
}

func TestDecodePlanErrorNamesKey(t *testing.T) {
	for raw, want := range map[string]string{
		`{"name":"a","rate":-1}`:   "plans.3.rate: below zero",
		`{"name":"a","burst":"2"}`: `plans.3.burst: unexpected value "2"`,
		`{"rate":1}`:               "plans.3.name: missing",
		`7`:                        "plans.3: not a JSON object",
		`{`:                        "plans.3: not a JSON object",
	} {
		_, _, _, err := DecodePlan("plans.3", raw)
		if err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %s", raw, err, want)
		}
	}
	_, err := DecodeSettings(`{"balancers":1,"plans":[{},{"rate":-1},7]}`)
	if err == nil || err.Error() != "plans.1.rate: below zero" {
		t.Errorf("%v, want an error of the second plan's rate", err)
	}
}

func TestDecodeRequestClassErrorNamesKey(t *testing.T) {
	for raw, want := range map[string]string{
		`{"name":"a","hard_limit_us":5,"effect":"odd"}`: `profiles.3.effect: unknown word "odd"`,
		`{"name":"a"}`: "profiles.3: name and hard_limit_us wanted",
	} {
		_, _, _, err := DecodeRequestClass("profiles.3", raw, &gateway.Limits{})
		if err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %s", raw, err, want)
		}
	}
}
