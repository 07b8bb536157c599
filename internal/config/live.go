package config

import (
	"errors"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"time"

	"ravensill/configsync"
	"ravensill/gateway"
)

// yieldInterval is the number of changes that are decoded between two yields of the processor: the gateway has one, and
// its requests must not wait for a large document.
const yieldInterval = 64

var (
	errLastPlan  = errors.New("the last quota plan can't be removed")
	errLastClass = errors.New("the last request class can't be removed")
	errOwnMember = errors.New("missing: it is the member index of this gateway")
	errNoListen  = errors.New("this gateway has no peer_listen, at which other members could reach it")
	errFixedSize = errors.New("the number of gateways is fixed at the start by the section pool")
	errUnknown   = errors.New("no such kind of resource")
)

// ResourceError is an error of one resource of the configuration, for which a change is rejected.
type ResourceError struct {
	Resource configsync.Resource
	Key      string // of the resource's object; empty: the error is not of one key
	Err      error
}

func (e *ResourceError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %v", e.Resource, e.Err)
	}
	return fmt.Sprintf("%s: %s: %v", e.Resource, e.Key, e.Err)
}

func (e *ResourceError) Unwrap() error { return e.Err }

// Live is the decoded configuration in force: quota plans, request classes, limits and members. It starts from the
// gateway's file, and documents change it. Limits, or members, of which a document names none are those of the file.
// The publishers check a change by the same code before they publish it (NewLiveChecker).
//
// A Live belongs to one goroutine. The cost of Apply and Check grows with the number of changes alone, unless the
// changes are a complete document.
type Live struct {
	plans                table[gateway.Plan]
	classes              table[gateway.RequestClass]
	identities           map[uint32]string // names of quota plans by identity, including removed plans
	members              members
	limits               gateway.Limits // in force
	requestedLimits      gateway.Limits // with Hedging as configured, whatever the request classes are
	nonIdempotentClasses int            // request classes in force
	file                 fileSettings
}

// fileSettings are the settings of the gateway's file that no document changes.
type fileSettings struct {
	limits         gateway.Limits
	longestTimeout time.Duration // of request classes; 0: not bounded
	fixedSize      bool          // the number of members can't change
}

// NewLive returns the configuration in force of a gateway that has its file alone.
func NewLive(base *Config) *Live {
	live := newLive(base)
	plans := live.plans.edit(len(base.Plans))
	for i, name := range base.PlanNames {
		live.plans.set(&plans, name, base.Plans[i])
		live.identities[base.Plans[i].ID] = name
	}
	live.plans.commit(&plans)
	classes := live.classes.edit(len(base.Classes))
	for i, name := range base.ClassNames {
		live.classes.set(&classes, name, base.Classes[i])
	}
	live.nonIdempotentClasses = live.nonIdempotentChange(&classes)
	live.classes.commit(&classes)
	return live
}

// NewLiveChecker returns a Live for a publisher, which has no gateway's file: it starts without quota plans, request
// classes and members.
func NewLiveChecker() *Live {
	return &Live{identities: map[uint32]string{}, members: members{own: noMember}}
}

// newLive returns a Live for a gateway, without the quota plans and request classes of its file.
func newLive(base *Config) *Live {
	live := &Live{
		identities:      make(map[uint32]string, len(base.Plans)),
		limits:          base.Limits,
		requestedLimits: base.Limits,
		members:         newMembers(base),
		file:            fileSettings{limits: base.Limits, fixedSize: base.Pool != nil},
	}
	if base.Pool != nil { // its leases are drained for as long as the longest request of the file
		for _, class := range base.Classes {
			live.file.longestTimeout = max(live.file.longestTimeout, class.Timeout)
		}
	}
	return live
}

// Revision is the difference that changes made to the configuration in force.
type Revision struct {
	Update      gateway.SettingsUpdate // for the decision module
	PlanNames   []string               // of Update.Plans, in its order
	Classes     []ClassChange          // those of Update.Classes, and the removed ones
	Members     []MemberChange         // addresses that changed
	MemberCount int                    // members in force; indices from here on are removed
	PlanCount   int                    // quota plans in force
	ClassCount  int                    // request classes in force
	Adjusted    []Adjustment
}

// ClassChange sets or removes a request class.
type ClassChange struct {
	Name    string
	Index   int
	Class   gateway.RequestClass // the last value, where the class is removed
	Removed bool
}

// MemberChange sets the gossip address of a member.
type MemberChange struct {
	Index   int
	Address netip.AddrPort
}

// Apply puts changes in force, at most one of each resource. complete means that the changes are a complete document:
// resources that it doesn't name are removed. On an error, a *ResourceError, nothing has changed. Removing a resource
// that doesn't exist changes nothing.
func (l *Live) Apply(changes []configsync.Change, complete bool) (*Revision, error) {
	edit, err := l.stage(changes, complete)
	if err != nil {
		return nil, err
	}
	return l.commit(edit), nil
}

// Check returns the error that Apply would return, and changes nothing.
func (l *Live) Check(changes []configsync.Change, complete bool) error {
	_, err := l.stage(changes, complete)
	return err
}

// liveEdit is a change of all parts that is checked but not yet in force.
type liveEdit struct {
	plans      tableEdit[gateway.Plan]
	classes    tableEdit[gateway.RequestClass]
	identities map[uint32]string // of new quota plans
	members    memberEdit
	limits     gateway.Limits // as configured
	adjusted   []Adjustment

	initial bool // made at a start: the revision lists no quota plans
}

// countKinds counts the changes of quota plans and request classes.
func countKinds(changes []configsync.Change) (plans, classes int) {
	for i := range changes {
		resource := string(changes[i].Resource)
		if strings.HasPrefix(resource, configsync.PlanPrefix) {
			plans++
		}
		if strings.HasPrefix(resource, configsync.ClassPrefix) {
			classes++
		}
	}
	return plans, classes
}

// stage decodes and checks changes.
func (l *Live) stage(changes []configsync.Change, complete bool) (*liveEdit, error) {
	plans, classes := countKinds(changes)
	edit := &liveEdit{
		plans:   l.plans.edit(plans),
		classes: l.classes.edit(classes),
		members: l.members.edit(complete),
		limits:  l.requestedLimits,
	}
	if complete {
		edit.limits = l.file.limits
	}
	named := make(map[configsync.Resource]bool, len(changes))
	if err := l.stageChanges(edit, changes, named); err != nil {
		return nil, err
	}
	if complete {
		l.removeUnnamed(edit, named)
	}
	if err := l.checkEdit(edit); err != nil {
		return nil, err
	}
	return edit, nil
}

// stageChanges decodes each change into an edit, and adds the resources that the changes name.
func (l *Live) stageChanges(edit *liveEdit, changes []configsync.Change, named map[configsync.Resource]bool) error {
	for i := range changes {
		if i%yieldInterval == yieldInterval-1 {
			runtime.Gosched()
		}
		change := &changes[i]
		if named[change.Resource] {
			return &ResourceError{Resource: change.Resource, Err: errRepeated}
		}
		named[change.Resource] = true
		if err := l.stageChange(edit, change); err != nil {
			return err
		}
	}
	return nil
}

// removeUnnamed stages the removal of the quota plans and request classes in force that a complete document lacks.
func (l *Live) removeUnnamed(edit *liveEdit, named map[configsync.Resource]bool) {
	l.plans.removeOthers(&edit.plans, func(name string) bool {
		return named[configsync.PlanPrefix+configsync.Resource(name)]
	})
	l.classes.removeOthers(&edit.classes, func(name string) bool {
		return named[configsync.ClassPrefix+configsync.Resource(name)]
	})
}

// checkEdit returns an error if a gateway could not run with the configuration after an edit.
func (l *Live) checkEdit(edit *liveEdit) error {
	if edit.plans.count == 0 {
		return &ResourceError{Resource: configsync.PlanPrefix, Err: errLastPlan}
	}
	if edit.classes.count == 0 {
		return &ResourceError{Resource: configsync.ClassPrefix, Err: errLastClass}
	}
	return l.checkMembers(&edit.members)
}

// commit puts an edit in force and returns the difference that it made.
func (l *Live) commit(edit *liveEdit) *Revision {
	revision := &Revision{Adjusted: edit.adjusted}
	l.commitPlans(edit, revision)
	l.commitClasses(edit, revision)
	l.commitLimits(edit, revision)
	l.members.commit(&edit.members, revision)
	return revision
}

func (l *Live) commitPlans(edit *liveEdit, revision *Revision) {
	l.plans.commit(&edit.plans)
	for id, name := range edit.identities {
		l.identities[id] = name
	}
	revision.PlanCount = l.plans.count
	if edit.initial || len(edit.plans.entries) == 0 {
		return
	}
	revision.Update.Plans = make([]gateway.PlanUpdate, 0, len(edit.plans.entries))
	revision.PlanNames = make([]string, 0, len(edit.plans.entries))
	for _, staged := range edit.plans.entries {
		update := gateway.PlanUpdate{Index: staged.index, Plan: staged.value, Removed: staged.removed}
		revision.Update.Plans = append(revision.Update.Plans, update)
		revision.PlanNames = append(revision.PlanNames, staged.name)
	}
}

func (l *Live) commitClasses(edit *liveEdit, revision *Revision) {
	l.nonIdempotentClasses += l.nonIdempotentChange(&edit.classes)
	l.classes.commit(&edit.classes)
	revision.ClassCount = l.classes.count
	for _, staged := range edit.classes.entries {
		change := ClassChange{Name: staged.name, Index: staged.index, Class: staged.value, Removed: staged.removed}
		revision.Classes = append(revision.Classes, change)
		if !staged.removed {
			update := gateway.ClassUpdate{Index: staged.index, Class: staged.value}
			revision.Update.Classes = append(revision.Update.Classes, update)
		}
	}
}

func (l *Live) commitLimits(edit *liveEdit, revision *Revision) {
	l.requestedLimits = edit.limits
	limits := edit.limits
	limits.Hedging = limits.Hedging && l.nonIdempotentClasses == 0
	if limits != l.limits {
		l.limits = limits
		revision.Update.Limits = &limits
	}
}

// nonIdempotentChange returns the difference that an edit not yet in force makes to the number of request classes that
// are not idempotent.
func (l *Live) nonIdempotentChange(edit *tableEdit[gateway.RequestClass]) (change int) {
	for _, staged := range edit.entries {
		if staged.replaces && l.classes.entries[staged.index].value.Effect == gateway.NonIdempotent {
			change--
		}
		if !staged.removed && staged.value.Effect == gateway.NonIdempotent {
			change++
		}
	}
	return change
}
