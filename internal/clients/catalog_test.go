package clients

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

// ask gives what a command gets that names a class and a plan.
func (c *Catalog) ask(verb, class, plan string) error {
	terms := requestTerms{Class: c.class([]byte(class)), Plan: c.plan([]byte(plan)), Units: 4, Spread: 3, First: 0, ReadOnly: verb == verbGet}
	if terms.Class < 0 || terms.Plan < 0 {
		return errors.New("unknown")
	}
	return c.check(&terms)
}

// TestCatalog: what commands may name follows the edits; a removed name is told as such, an unknown one as before.
func TestCatalog(t *testing.T) {
	c := NewCatalog(startCatalog)
	var all strings.Builder
	for _, edit := range []CatalogEdit{
		{},
		{Plans: []PlanEdit{{Index: 0, Name: "basic", Removed: true}, {Index: 2, Name: "gold", MaxUnits: 3}}, Members: 4},
		{Plans: []PlanEdit{{Index: 0, Name: "basic", MaxUnits: 9}, {Index: 2, Name: "gold"}}, Classes: []ClassEdit{{Index: 0, Name: "lookup", Removed: true},
			{Index: 2, Name: "pay", Effect: gateway.NonIdempotent}}},
		{Members: 2},
	} {
		c.Apply(edit)
		fmt.Fprintf(&all, "%+v\n", edit)
		for _, x := range [][3]string{{verbGet, "lookup", "basic"}, {verbGet, "lookup", "gold"}, {verbPost, "order", "team"}, {verbPost, "pay", "gold"}} {
			fmt.Fprintf(&all, "  %q: %v\n", x, c.ask(x[0], x[1], x[2]))
		}
	}
	golden.Check(t, all.String())
}

// TestCatalogFinds: the cost of a name doesn't grow with their number; of two alike the first counts.
func TestCatalogFinds(t *testing.T) {
	many := CatalogConfig{Classes: []string{"lookup"}, Effects: make([]gateway.Effect, 1), Members: 1}
	for i := range 54_000 {
		many.Plans = append(many.Plans, fmt.Sprint("plan-", i))
	}
	many.Plans[53_999], many.MaxUnits = many.Plans[7], make([]float64, 54_000)
	c, last := NewCatalog(many), []byte("plan-53998")
	if at := c.plan(last); at != 53_998 || c.plans[at].Name != "plan-53998" {
		t.Errorf("%s is at %d", last, at)
	}
	if at := c.plan([]byte("plan-7")); at != 7 {
		t.Errorf("of two alike the one at %d counts, want the first", at)
	}
	if at := c.plan([]byte("plan-53999")); at != -1 {
		t.Errorf("what is not there is found at %d", at)
	}
	if n := testing.AllocsPerRun(100, func() { c.plan(last) }); n != 0 {
		t.Errorf("%v allocations for a name", n)
	}
}

// TestCatalogChangesWhileCommandIsQueued: a request that was read under one version and reaches the loop under the next is taken by the next.
func TestCatalogChangesWhileCommandIsQueued(t *testing.T) {
	s := newTestServer(t, 9)
	c := s.connect()
	for i, x := range []struct {
		edit CatalogEdit
		want string
	}{
		{CatalogEdit{Plans: []PlanEdit{{Index: 1, Name: "team", Removed: true}}}, "-ERR plan: removed"},
		{CatalogEdit{Plans: []PlanEdit{{Index: 1, Name: "team", MaxUnits: 1}}}, "-ERR units: 2 are more than team ever grants"},
		{CatalogEdit{Plans: []PlanEdit{{Index: 1, Name: "team"}}, Classes: []ClassEdit{{Index: 0, Name: "lookup", Effect: gateway.Deduplicated}}},
			"-ERR c: lookup is not served by CALL.GET"},
		{CatalogEdit{Classes: []ClassEdit{{Index: 0, Name: "lookup", Removed: true}}}, "-ERR class: removed"},
	} {
		s.catalog.Apply(CatalogEdit{Plans: []PlanEdit{{Index: 1, Name: "team"}}, Classes: []ClassEdit{{Index: 0, Name: "lookup"}}})
		c.send("a")
		s.waitFor("read", func() bool {
			c.conn.mu.Lock()
			defer c.conn.mu.Unlock()
			return len(c.conn.commands) > c.conn.head
		})
		s.catalog.Apply(x.edit)
		s.runLoop("answered", func() bool { return c.conn.commandCount == i+1 })
		if a := c.readLine(); a != x.want {
			t.Errorf("%q, want %q", a, x.want)
		}
	}
	if len(s.requests) > 0 {
		t.Errorf("%d taken in", len(s.requests))
	}
}
