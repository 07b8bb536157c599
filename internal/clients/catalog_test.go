package clients

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

// checkCommand returns the error that the catalog has for a request with a verb, the name of a request class and the
// name of a quota plan.
func (c *Catalog) checkCommand(verb, class, plan string) error {
	terms := requestTerms{
		class:        c.class([]byte(class)),
		plan:         c.plan([]byte(plan)),
		units:        4,
		spread:       3,
		firstGateway: 0,
		readOnly:     verb == verbGet,
	}
	if terms.class == unset || terms.plan == unset {
		return errors.New("unknown")
	}
	return c.check(&terms)
}

// The names that commands may contain change with each edit. The error for a removed name differs from that for an
// unknown one.
func TestCatalogCheckFollowsEdits(t *testing.T) {
	edits := []CatalogEdit{
		{},
		{
			Plans: []PlanEdit{
				{Index: 0, Name: "basic", Removed: true},
				{Index: 2, Name: "gold", MaxUnits: 3},
			},
			Members: 4,
		},
		{
			Plans: []PlanEdit{
				{Index: 0, Name: "basic", MaxUnits: 9},
				{Index: 2, Name: "gold"},
			},
			Classes: []ClassEdit{
				{Index: 0, Name: "lookup", Removed: true},
				{Index: 2, Name: "pay", Effect: gateway.NonIdempotent},
			},
		},
		{Members: 2},
	}
	commands := [][3]string{
		{verbGet, "lookup", "basic"},
		{verbGet, "lookup", "gold"},
		{verbPost, "order", "team"},
		{verbPost, "pay", "gold"},
	}
	catalog := NewCatalog(startCatalog)
	var trace strings.Builder
	for _, edit := range edits {
		catalog.Apply(edit)
		fmt.Fprintf(&trace, "%+v\n", edit)
		for _, words := range commands {
			fmt.Fprintf(&trace, "  %q: %v\n", words, catalog.checkCommand(words[0], words[1], words[2]))
		}
	}
	golden.Check(t, trace.String())
}

// A lookup among tens of thousands of names finds the right index and allocates nothing. A name that occurs twice
// stands for its first index.
func TestCatalogLookupAmongManyNames(t *testing.T) {
	const plans = 54_000
	config := CatalogConfig{
		Classes:  []string{"lookup"},
		Effects:  make([]gateway.Effect, 1),
		MaxUnits: make([]float64, plans),
		Members:  1,
	}
	for i := range plans {
		config.Plans = append(config.Plans, fmt.Sprint("plan-", i))
	}
	config.Plans[plans-1] = config.Plans[7]
	catalog := NewCatalog(config)
	latest := []byte("plan-53998")
	if index := catalog.plan(latest); index != 53_998 || catalog.plans[index].Name != "plan-53998" {
		t.Errorf("%s has the index %d", latest, index)
	}
	if index := catalog.plan([]byte("plan-7")); index != 7 {
		t.Errorf("a name that occurs twice has the index %d, want the first", index)
	}
	if index := catalog.plan([]byte("plan-53999")); index != unset {
		t.Errorf("an unknown name has the index %d", index)
	}
	if n := testing.AllocsPerRun(100, func() { catalog.plan(latest) }); n != 0 {
		t.Errorf("%v allocations by a lookup, want none", n)
	}
}

// A request that is read before an edit of the catalog, and handled by the event loop after the edit, is checked by the
// edited catalog.
func TestCatalogChangesWhileCommandIsQueued(t *testing.T) {
	s := newTestServer(t, 9)
	c := s.connect()
	tests := []struct {
		edit CatalogEdit
		want string
	}{
		{
			CatalogEdit{Plans: []PlanEdit{{Index: 1, Name: "team", Removed: true}}},
			"-ERR plan: removed",
		},
		{
			CatalogEdit{Plans: []PlanEdit{{Index: 1, Name: "team", MaxUnits: 1}}},
			"-ERR units: 2 are more than team ever grants",
		},
		{
			CatalogEdit{
				Plans:   []PlanEdit{{Index: 1, Name: "team"}},
				Classes: []ClassEdit{{Index: 0, Name: "lookup", Effect: gateway.Deduplicated}},
			},
			"-ERR c: lookup is not served by CALL.GET",
		},
		{
			CatalogEdit{Classes: []ClassEdit{{Index: 0, Name: "lookup", Removed: true}}},
			"-ERR class: removed",
		},
	}
	for i, test := range tests {
		s.catalog.Apply(CatalogEdit{
			Plans:   []PlanEdit{{Index: 1, Name: "team"}},
			Classes: []ClassEdit{{Index: 0, Name: "lookup"}},
		})
		c.send("a")
		s.waitFor("queued", func() bool {
			c.conn.mu.Lock()
			defer c.conn.mu.Unlock()
			return len(c.conn.commands) > c.conn.head
		})
		s.catalog.Apply(test.edit)
		s.runLoop("answered", func() bool { return c.conn.commandCount == i+1 })
		if got := c.readLine(); got != test.want {
			t.Errorf("answer %q, want %q", got, test.want)
		}
	}
	if len(s.requests) > 0 {
		t.Errorf("%d requests were passed to the handler, want none", len(s.requests))
	}
}
