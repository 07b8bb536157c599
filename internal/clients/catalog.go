package clients

import (
	"errors"
	"fmt"
	"sync"

	"ravensill/gateway"
)

// CatalogConfig is what the catalog starts with: names by index, and the bounds of the figures in commands.
type CatalogConfig struct {
	Classes  []string
	Effects  []gateway.Effect // by request class
	Plans    []string
	MaxUnits []float64 // of one request, by quota plan; 0: any
	Members  int       // gateways of the fleet
	Own      int       // member index of this one
}

// CatalogEdit changes what commands may name.
type CatalogEdit struct {
	Classes []ClassEdit
	Plans   []PlanEdit
	Members int // gateways of the fleet; 0: unchanged
}

// ClassEdit sets or removes the request class of an index.
type ClassEdit struct {
	Index   int
	Name    string
	Effect  gateway.Effect
	Removed bool
}

// PlanEdit sets or removes the quota plan of an index.
type PlanEdit struct {
	Index    int
	Name     string
	MaxUnits float64 // of one request; 0: any
	Removed  bool
}

// RemovedError tells that a command names what the configuration held once. The command is understood, and its answer
// is final.
type RemovedError struct {
	What string // "plan" or "class"
}

func (e *RemovedError) Error() string { return e.What + ": removed" }

// requestTerms are what a command tells of its request beside its text.
type requestTerms struct {
	Class, Plan   int // by index
	Units         float64
	Spread, First int  // the set of gateways that the customer's requests come in at
	ReadOnly      bool // sent by CALL.GET
	HasKey        bool // it has a key by which hosts drop repeats
	version       uint64
}

// Catalog knows the request classes, the quota plans and the size of the fleet. Connections' readers look names up in
// it; only the loop changes it.
type Catalog struct {
	mu           sync.RWMutex
	version      uint64         // counts the edits
	classIndices map[string]int // by name, removed ones too
	planIndices  map[string]int
	classes      []ClassEdit // by index, as last set
	plans        []PlanEdit
	members      int // gateways of the fleet
	own          int // member index of this one
}

// NewCatalog starts with what the gateway starts with. A name that is given twice stands for its first index.
func NewCatalog(config CatalogConfig) *Catalog {
	c := &Catalog{
		classIndices: make(map[string]int, len(config.Classes)),
		planIndices:  make(map[string]int, len(config.Plans)),
		classes:      make([]ClassEdit, 0, len(config.Classes)),
		plans:        make([]PlanEdit, 0, len(config.Plans)),
		members:      config.Members,
		own:          config.Own,
	}
	for i, name := range config.Classes {
		c.classes = append(c.classes, ClassEdit{Index: i, Name: name, Effect: config.Effects[i]})
		if _, known := c.classIndices[name]; !known {
			c.classIndices[name] = i
		}
	}
	for i, name := range config.Plans {
		c.plans = append(c.plans, PlanEdit{Index: i, Name: name, MaxUnits: config.MaxUnits[i]})
		if _, known := c.planIndices[name]; !known {
			c.planIndices[name] = i
		}
	}
	return c
}

// Apply makes a change; a reader sees all of it or nothing. An index is that of a known name, or the next one.
func (c *Catalog) Apply(edit CatalogEdit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	for _, class := range edit.Classes {
		if class.Index == len(c.classes) {
			c.classes = append(c.classes, class)
			c.classIndices[class.Name] = class.Index
		}
		c.classes[class.Index] = class
	}
	for _, plan := range edit.Plans {
		if plan.Index == len(c.plans) {
			c.plans = append(c.plans, plan)
			c.planIndices[plan.Name] = plan.Index
		}
		c.plans[plan.Index] = plan
	}
	if edit.Members > 0 {
		c.members = edit.Members
	}
}

// size tells how many gateways the fleet has.
func (c *Catalog) size() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.members
}

// class gives the index of a request class by its name, -1 for an unknown one.
func (c *Catalog) class(name []byte) int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if index, known := c.classIndices[string(name)]; known {
		return index
	}
	return -1
}

// plan gives the index of a quota plan by its name, -1 for an unknown one.
func (c *Catalog) plan(name []byte) int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if index, known := c.planIndices[string(name)]; known {
		return index
	}
	return -1
}

// check tells why a request can't be taken in by what is known now, and notes in its terms that it was asked.
func (c *Catalog) check(terms *requestTerms) error {
	c.mu.RLock()
	defer c.mu.RUnlock()
	terms.version = c.version
	return c.fault(terms)
}

// recheck tells the same of a request that was checked before, perhaps under an earlier version. It is called on the
// loop, which alone changes the catalog.
func (c *Catalog) recheck(terms *requestTerms) error {
	if terms.version == c.version {
		return nil
	}
	return c.fault(terms)
}

func (c *Catalog) fault(terms *requestTerms) error {
	class, plan := &c.classes[terms.Class], &c.plans[terms.Plan]
	switch {
	case class.Removed:
		return &RemovedError{"class"}
	case plan.Removed:
		return &RemovedError{"plan"}
	case terms.ReadOnly != (class.Effect == gateway.Idempotent):
		return fmt.Errorf("c: %s is not served by %s", class.Name, verb(terms.ReadOnly))
	case class.Effect == gateway.Deduplicated && !terms.HasKey:
		return errNoKey
	case plan.MaxUnits > 0 && terms.Units > plan.MaxUnits:
		return fmt.Errorf("units: %g are more than %s ever grants", terms.Units, plan.Name)
	case terms.Spread > c.members || (c.own-terms.First+c.members)%c.members >= terms.Spread || terms.First >= c.members:
		return errNotOfSet
	}
	return nil
}

const (
	verbGet  = "CALL.GET"
	verbPost = "CALL.POST"
)

func verb(readOnly bool) string {
	if readOnly {
		return verbGet
	}
	return verbPost
}

var (
	errNoKey    = errors.New("k: missing")
	errNotOfSet = errors.New("first, spread: this gateway is not of that set")
)
