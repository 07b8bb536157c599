package clients

import (
	"errors"
	"fmt"
	"sync"

	"ravensill/gateway"
)

// CatalogConfig is the initial content of a Catalog.
type CatalogConfig struct {
	Classes  []string         // names of the request classes, by class index
	Effects  []gateway.Effect // effects of the request classes, by class index
	Plans    []string         // names of the quota plans, by plan index
	MaxUnits []float64        // largest number of units of one request, by plan index; 0: unlimited
	Members  int              // number of gateways of the fleet
	OwnIndex int              // member index of this gateway
}

// CatalogEdit is a change of a Catalog. What it does not mention stays as it is.
type CatalogEdit struct {
	Classes []ClassEdit
	Plans   []PlanEdit
	Members int // number of gateways of the fleet; 0: unchanged
}

// ClassEdit adds, replaces or removes the request class with an index.
type ClassEdit struct {
	Index   int
	Name    string
	Effect  gateway.Effect
	Removed bool
}

// PlanEdit adds, replaces or removes the quota plan with an index.
type PlanEdit struct {
	Index    int
	Name     string
	MaxUnits float64 // largest number of units of one request; 0: unlimited
	Removed  bool
}

// RemovedError is the error of a command that names a request class or quota plan which was removed from the
// configuration. The command is well formed, and a retry gets the same answer.
type RemovedError struct {
	Kind string // "plan" or "class"
}

func (e *RemovedError) Error() string { return e.Kind + ": removed" }

var (
	errNoKey           = errors.New("k: missing")
	errNotInGatewaySet = errors.New("first, spread: this gateway is not of that set")
)

// requestTerms are the properties of a request that the catalog checks.
type requestTerms struct {
	class        int // index in the catalog
	plan         int // index in the catalog
	units        float64
	spread       int    // number of gateways, in a row by member index, that receive the customer's requests
	firstGateway int    // member index of the first of these gateways
	readOnly     bool   // whether the request was sent by CALL.GET
	hasKey       bool   // whether the request has a key by which hosts detect repeats of it
	version      uint64 // version of the catalog by which the request was checked
}

// Catalog holds the request classes, the quota plans and the number of gateways of the fleet, by which commands are
// checked. The readers of connections look names up in it on their goroutines; only the event loop changes it.
type Catalog struct {
	mu           sync.RWMutex   // guards the other fields against changes by the event loop
	version      uint64         // number of edits applied
	classIndices map[string]int // by name, including removed classes
	planIndices  map[string]int // by name, including removed plans
	classes      []ClassEdit    // classes by index, as set by the latest edit
	plans        []PlanEdit     // plans by index, as set by the latest edit
	members      int            // number of gateways of the fleet
	ownIndex     int            // member index of this gateway
}

// NewCatalog returns a catalog with the content of config. If a name occurs twice, it stands for its first index.
func NewCatalog(config CatalogConfig) *Catalog {
	c := &Catalog{
		classIndices: make(map[string]int, len(config.Classes)),
		planIndices:  make(map[string]int, len(config.Plans)),
		classes:      make([]ClassEdit, 0, len(config.Classes)),
		plans:        make([]PlanEdit, 0, len(config.Plans)),
		members:      config.Members,
		ownIndex:     config.OwnIndex,
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

// addName maps a name to its index, unless the name is already mapped.
func addName(indices map[string]int, name string, index int) {
	if _, known := indices[name]; !known {
		indices[name] = index
	}
}

// Apply applies an edit; readers see all of it or nothing. Each index in it must be one that is in use, for the same
// name, or the next free one. It must be called on the event loop.
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

// memberCount returns the number of gateways of the fleet. It may be called on any goroutine.
func (c *Catalog) memberCount() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.members
}

// class returns the index of the request class with a name, or unset if there is none. It may be called on any
// goroutine.
func (c *Catalog) class(name []byte) int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if index, known := c.classIndices[string(name)]; known {
		return index
	}
	return unset
}

// plan returns the index of the quota plan with a name, or unset if there is none. It may be called on any goroutine.
func (c *Catalog) plan(name []byte) int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if index, known := c.planIndices[string(name)]; known {
		return index
	}
	return unset
}

// check returns an error if a request with these terms can't be served, and stores the version of the catalog in terms.
// It may be called on any goroutine.
func (c *Catalog) check(terms *requestTerms) error {
	c.mu.RLock()
	defer c.mu.RUnlock()
	terms.version = c.version
	return c.validate(terms)
}

// recheck repeats check for a request if the catalog has changed since that was checked. It must be called on the event
// loop, which alone changes the catalog; so it needs no lock.
func (c *Catalog) recheck(terms *requestTerms) error {
	if terms.version == c.version {
		return nil
	}
	return c.validate(terms)
}

// validate returns an error if a request with these terms can't be served. It must be called with mu locked or on the
// event loop.
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
	case !c.isInGatewaySet(terms.firstGateway, terms.spread):
		return errNotInGatewaySet
	}
	return nil
}

// isInGatewaySet reports whether this gateway is one of the spread gateways that begin at the member index first, where
// index 0 follows the last index.
func (c *Catalog) isInGatewaySet(first, spread int) bool {
	if first >= c.members || spread > c.members {
		return false
	}
	distance := (c.ownIndex - first + c.members) % c.members
	return distance < spread
}
