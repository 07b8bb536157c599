package config

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"ravensill/gateway"
)

// manyPlans writes settings of so many quota plans and request classes, with keys that are adjusted.
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

// TestReadingIsLinear counts the bytes that lookups may go through: sixteen times the plans or classes may take little more
// than sixteen times as many.
func TestReadingIsLinear(t *testing.T) {
	const times, margin = 16, 1.25
	scanned := func(plans, classes int) float64 {
		s, err := newObjectReader("", manyPlans(plans, classes))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.settings(); err != nil {
			t.Fatal(err)
		}
		return float64(s.scanned)
	}
	const few = 200
	if growth := scanned(times*few, 1) / scanned(few, 1); growth > margin*times {
		t.Errorf("%d times the plans: %.1f times the bytes", times, growth)
	}
	if growth := scanned(1, times*few) / scanned(1, few); growth > margin*times {
		t.Errorf("%d times the classes: %.1f times the bytes", times, growth)
	}
}

// TestDecodeOneResource: a plan or a class read by itself is what it is as an element of the whole, adjustments and faults too.
func TestDecodeOneResource(t *testing.T) {
	s, err := newObjectReader("", manyPlans(2, 1))
	if err != nil {
		t.Fatal(err)
	}
	whole, err := s.settings()
	if err != nil {
		t.Fatal(err)
	}
	var adjusted []Adjustment
	for i, raw := range s.get("plans").Array() {
		plan, name, more, err := DecodePlan(elementPath("plans", i), raw.Raw)
		if err != nil || plan != whole.Plans[i] || name != whole.PlanNames[i] {
			t.Errorf("plan %d: %+v %q, %v", i, plan, name, err)
		}
		adjusted = append(adjusted, more...)
	}
	limits := gateway.Limits{Hedging: true}
	for i, raw := range s.get("profiles").Array() {
		class, name, more, err := DecodeRequestClass(elementPath("profiles", i), raw.Raw, &limits)
		if err != nil || class != whole.Classes[i] || name != whole.ClassNames[i] {
			t.Errorf("class %d: %+v %q, %v", i, class, name, err)
		}
		adjusted = append(adjusted, more...)
	}
	if !reflect.DeepEqual(adjusted, whole.Adjusted[:len(adjusted)]) || limits.Hedging {
		t.Errorf("adjusted %q, in the whole %q", adjusted, whole.Adjusted)
	}
	repeated := []string{"profiles.1.name", "plans.2.name"}
	for i, adjustment := range whole.Adjusted[len(adjusted):] {
		if adjustment.Key != repeated[i] {
			t.Errorf("adjusted %q, want %s", adjustment, repeated[i])
		}
	}
	for raw, want := range map[string]string{
		`{"name":"a","rate":-1}`: "plans.3.rate: below zero", `{"name":"a","burst":"2"}`: `plans.3.burst: unexpected value "2"`,
		`{"rate":1}`: "plans.3.name: missing", `7`: "plans.3: not a JSON object", `{`: "plans.3: not a JSON object"} {
		if _, _, _, err := DecodePlan("plans.3", raw); err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %s", raw, err, want)
		}
	}
	for raw, want := range map[string]string{
		`{"name":"a","hard_limit_us":5,"effect":"odd"}`: `profiles.3.effect: unknown word "odd"`,
		`{"name":"a"}`: "profiles.3: name and hard_limit_us wanted"} {
		if _, _, _, err := DecodeRequestClass("profiles.3", raw, &limits); err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %s", raw, err, want)
		}
	}
	if _, err := Decode(`{"balancers":1,"plans":[{},{"rate":-1},7]}`); err == nil || err.Error() != "plans.1.rate: below zero" {
		t.Errorf("%v, want the second plan's rate named", err)
	}
}
