package clients

import (
	"errors"
	"fmt"
	"sync"

	"ravensill/gateway"
)

// CatalogConfig is what the catalog starts with: names by index, and the bounds of the numbers in commands.
type CatalogConfig struct {
	Classes  []string
	Effects  []gateway.Effect // by request class
	Plans    []string
	MaxUnits []float64 // of one request, by quota plan; 0: unlimited
	Members  int       // gateways of the fleet
	OwnIndex int       // member index of this one
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
	MaxUnits float64 // of one request; 0: unlimited
	Removed  bool
}

// RemovedError is the error of a command that names a class or plan which the configuration no longer has. The command
// is well formed, and its answer is final.
type RemovedError struct {
	Kind string // "plan" or "class"
}

func (e *RemovedError) Error() string { return e.Kind + ": removed" }

var (
	errNoKey    = errors.New("k: missing")
	errNotOfSet = errors.New("first, spread: this gateway is not of that set")
)

// requestTerms are the arguments of a request that the catalog checks.
type requestTerms struct {
	class        int // index
	plan         int // index
	units        float64
	spread       int    // the customer's requests come in at this many gateways,
	firstGateway int    // from this member index on
	readOnly     bool   // sent by CALL.GET
	hasKey       bool   // it has a key by which hosts drop repeats
	version      uint64 // of the catalog when it was checked
}

// Catalog holds the request classes, the quota plans and the size of the fleet. Connections' readers look names up in
// it; only the loop changes it.
type Catalog struct {
	mu           sync.RWMutex
	version      uint64         // counts the edits
	classIndices map[string]int // by name, including removed ones
	planIndices  map[string]int
	classes      []ClassEdit // by index, as set by the latest edit
	plans        []PlanEdit
	members      int // gateways of the fleet
	own          int // member index of this one
}

// NewCatalog returns a catalog with the content of config. A name that occurs twice stands for its first index.
func NewCatalog(config CatalogConfig) *Catalog {
	c := &Catalog{
		classIndices: make(map[string]int, len(config.Classes)),
		planIndices:  make(map[string]int, len(config.Plans)),
		classes:      make([]ClassEdit, 0, len(config.Classes)),
		plans:        make([]PlanEdit, 0, len(config.Plans)),
		members:      config.Members,
		own:          config.OwnIndex,
	}
	for i, name := range config.Classes {
		c.classes = append(c.classes, ClassEdit{Index: i, Name: name, Effect: config.Effects[i]})
		addName(c.classIndices, name, i)
	}
	for i, name := range config.Plans {
		c.plans = append(c.plans, PlanEdit{Index: i, Name: name, MaxUnits: config.MaxUnits[i]})
		addName(c.planIndices, name, i)
	}
	return c
}

// addName adds a name with its index, unless the name is known.
func addName(indices map[string]int, name string, index int) {
	if _, known := indices[name]; !known {
		indices[name] = index
	}
}

// Apply applies an edit, of which a reader sees all or nothing. An index is that of a known name, or the next one.
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

// memberCount returns the number of gateways of the fleet.
func (c *Catalog) memberCount() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.members
}

// class returns the index of a request class by its name, unset for an unknown one.
func (c *Catalog) class(name []byte) int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if index, known := c.classIndices[string(name)]; known {
		return index
	}
	return unset
}

// plan returns the index of a quota plan by its name, unset for an unknown one.
func (c *Catalog) plan(name []byte) int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if index, known := c.planIndices[string(name)]; known {
		return index
	}
	return unset
}

// check returns an error if a request with these terms can't be served, and sets the version that it was checked by.
func (c *Catalog) check(terms *requestTerms) error {
	c.mu.RLock()
	defer c.mu.RUnlock()
	terms.version = c.version
	return c.validate(terms)
}

// recheck is check for a request that was checked before, perhaps by an earlier version. It is called on the loop,
// which alone changes the catalog.
func (c *Catalog) recheck(terms *requestTerms) error {
	if terms.version == c.version {
		return nil
	}
	return c.validate(terms)
}

// validate returns an error if a request with these terms can't be served. It is called with mu locked or on the loop.
func (c *Catalog) validate(terms *requestTerms) error {
	class := &c.classes[terms.class]
	plan := &c.plans[terms.plan]
	isIdempotent := class.Effect == gateway.Idempotent
	switch {
	case class.Removed:
		return &RemovedError{"class"}
	case plan.Removed:
		return &RemovedError{"plan"}
	case terms.readOnly != isIdempotent:
		return fmt.Errorf("c: %s is not served by %s", class.Name, verbOf(terms.readOnly))
	case class.Effect == gateway.Deduplicated && !terms.hasKey:
		return errNoKey
	case plan.MaxUnits > 0 && terms.units > plan.MaxUnits:
		return fmt.Errorf("units: %g are more than %s ever grants", terms.units, plan.Name)
	case !c.isOwnSet(terms.firstGateway, terms.spread):
		return errNotOfSet
	}
	return nil
}

// isOwnSet reports whether this gateway is one of the spread gateways from the member index first on, cyclically.
func (c *Catalog) isOwnSet(first, spread int) bool {
	if first >= c.members || spread > c.members {
		return false
	}
	distance := (c.own - first + c.members) % c.members
	return distance < spread
}
