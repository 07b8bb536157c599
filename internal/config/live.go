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

// yieldInterval is the number of changes that are decoded before the goroutine yields the processor. A gateway runs on
// one processor, and its requests must not wait until a large document is decoded.
const yieldInterval = 64

var (
	errLastPlan         = errors.New("the last quota plan can't be removed")
	errLastClass        = errors.New("the last request class can't be removed")
	errOwnMemberMissing = errors.New("missing: it is the member index of this gateway")
	errNoPeerListen     = errors.New("this gateway has no peer_listen, at which other members could reach it")
	errFixedMemberCount = errors.New("the number of gateways is fixed at the start by the section pool")
	errUnknownResource  = errors.New("no such kind of resource")
)

// ResourceError is the reason for which a change to one resource of the configuration is rejected.
type ResourceError struct {
	Resource configsync.Resource
	Key      string // key in the resource's JSON object; empty if the error is not about one key
	Err      error
}

// Error returns the resource, the key if there is one, and the reason.
func (e *ResourceError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %v", e.Resource, e.Err)
	}
	return fmt.Sprintf("%s: %s: %v", e.Resource, e.Key, e.Err)
}

// Unwrap returns the reason without the resource and the key.
func (e *ResourceError) Unwrap() error { return e.Err }

// Live holds the decoded configuration in force: quota plans, request classes, limits and members. It starts from the
// gateway's file and is changed by the documents that publishers distribute. If the document in force has no resource
// for the limits, those of the file apply; likewise the file's members if the document has none.
//
// Publishers use the same code to check a change before they publish it (NewLiveChecker).
//
// A Live is not safe for concurrent use. The cost of Apply and Check is proportional to the number of changes, whatever
// the size of the configuration, except for a complete document.
type Live struct {
	plans                table[gateway.Plan]
	classes              table[gateway.RequestClass]
	planNamesByID        map[uint32]string // includes removed plans
	members              members
	limits               gateway.Limits // limits in force
	requestedLimits      gateway.Limits // limits as configured: Hedging may be set although limits has it off
	nonIdempotentClasses int            // number of such request classes in force
	file                 fileSettings
}

// fileSettings holds what Live needs of the gateway's file. Documents don't change it.
type fileSettings struct {
	limits           gateway.Limits
	longestTimeout   time.Duration // upper bound for the timeouts of request classes; 0: none
	fixedMemberCount bool          // documents must not change the number of members
}

// NewLive returns the configuration of a gateway that has no document yet, only its file.
func NewLive(base *Config) *Live {
	live := newLive(base)
	plans := live.plans.newEdit(len(base.Plans))
	for i, name := range base.PlanNames {
		live.plans.set(&plans, name, base.Plans[i])
		live.planNamesByID[base.Plans[i].ID] = name
	}
	live.plans.commit(&plans)
	classes := live.classes.newEdit(len(base.Classes))
	for i, name := range base.ClassNames {
		live.classes.set(&classes, name, base.Classes[i])
	}
	live.nonIdempotentClasses = live.nonIdempotentDelta(&classes)
	live.classes.commit(&classes)
	return live
}

// NewLiveChecker returns a Live for a publisher, which has no gateway's file: it starts without quota plans, request
// classes and members, and belongs to no member.
func NewLiveChecker() *Live {
	return &Live{planNamesByID: map[uint32]string{}, members: members{own: noMember}}
}

// newLive returns a Live with the limits and members of a gateway's file, but without its quota plans and request
// classes.
func newLive(base *Config) *Live {
	live := &Live{
		planNamesByID:   make(map[uint32]string, len(base.Plans)),
		limits:          base.Limits,
		requestedLimits: base.Limits,
		members:         newMembers(base),
		file:            fileSettings{limits: base.Limits, fixedMemberCount: base.Pool != nil},
	}
	if base.Pool != nil { // the pool waits for requests on an expired lease as long as the longest timeout in the file
		for _, class := range base.Classes {
			live.file.longestTimeout = max(live.file.longestTimeout, class.Timeout)
		}
	}
	return live
}

// Revision is the difference that Apply made to the configuration in force.
type Revision struct {
	Update      gateway.SettingsUpdate // the part of the difference that the decision module applies
	PlanNames   []string               // names of Update.Plans, in the same order
	Classes     []ClassChange          // the classes of Update.Classes, and the removed ones
	Members     []MemberChange         // members with a new address, by ascending index
	MemberCount int                    // members in force; those with this index or a higher one are removed
	PlanCount   int                    // quota plans in force
	ClassCount  int                    // request classes in force
	Adjusted    []Adjustment           // adjustments made to the changed resources
}

// ClassChange is one entry of Revision.Classes: a request class that was set or removed.
type ClassChange struct {
	Name    string
	Index   int
	Class   gateway.RequestClass // the last value if the class is removed
	Removed bool
}

// MemberChange is one entry of Revision.Members: a new gossip address of a member.
type MemberChange struct {
	Index   int
	Address netip.AddrPort
}

// Apply puts changes in force. Each resource may occur once. complete means that the changes are a complete document:
// quota plans, request classes and members that it does not name are removed, and if it has no limits or no members at
// all, those of the file apply. If the changes are invalid, Apply returns a *ResourceError and changes nothing.
// Removing a resource that does not exist has no effect.
func (l *Live) Apply(changes []configsync.Change, complete bool) (*Revision, error) {
	edit, err := l.stage(changes, complete)
	if err != nil {
		return nil, err
	}
	return l.commit(edit), nil
}

// Check returns the error that Apply would return, without changing anything.
func (l *Live) Check(changes []configsync.Change, complete bool) error {
	_, err := l.stage(changes, complete)
	return err
}

// liveEdit is a set of changes to a Live that are decoded and not yet in force.
type liveEdit struct {
	plans            tableEdit[gateway.Plan]
	classes          tableEdit[gateway.RequestClass]
	newPlanNamesByID map[uint32]string // names of the plans whose ID is not in Live.planNamesByID
	members          memberEdit
	limits           gateway.Limits // limits as configured, Hedging included
	adjusted         []Adjustment

	initial bool // the edit is made at the start of a gateway: its revision lists no quota plans
}

// countPlansAndClasses counts the changes of quota plans and of request classes.
func countPlansAndClasses(changes []configsync.Change) (plans, classes int) {
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

// stage decodes and checks changes. It changes nothing that is in force.
func (l *Live) stage(changes []configsync.Change, complete bool) (*liveEdit, error) {
	plans, classes := countPlansAndClasses(changes)
	edit := &liveEdit{
		plans:   l.plans.newEdit(plans),
		classes: l.classes.newEdit(classes),
		members: l.members.newEdit(complete),
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

// stageChanges decodes each change into the edit and adds its resource to named.
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

// removeUnnamed stages the removal of the quota plans and request classes in force that a complete document does not
// name.
func (l *Live) removeUnnamed(edit *liveEdit, named map[configsync.Resource]bool) {
	l.plans.removeOthers(&edit.plans, func(name string) bool {
		return named[configsync.PlanPrefix+configsync.Resource(name)]
	})
	l.classes.removeOthers(&edit.classes, func(name string) bool {
		return named[configsync.ClassPrefix+configsync.Resource(name)]
	})
}

// checkEdit returns an error if the configuration after the edit lacks quota plans or request classes, or if its
// members are invalid.
func (l *Live) checkEdit(edit *liveEdit) error {
	if edit.plans.count == 0 {
		return &ResourceError{Resource: configsync.PlanPrefix, Err: errLastPlan}
	}
	if edit.classes.count == 0 {
		return &ResourceError{Resource: configsync.ClassPrefix, Err: errLastClass}
	}
	return l.checkMembers(&edit.members)
}

// commit puts an edit in force and returns the difference that it made. It can't fail: the edit is checked.
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
	for id, name := range edit.newPlanNamesByID {
		l.planNamesByID[id] = name
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
	l.nonIdempotentClasses += l.nonIdempotentDelta(&edit.classes)
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

// commitLimits puts the limits in force. Hedging is off while any request class in force is not idempotent.
func (l *Live) commitLimits(edit *liveEdit, revision *Revision) {
	l.requestedLimits = edit.limits
	limits := edit.limits
	limits.Hedging = limits.Hedging && l.nonIdempotentClasses == 0
	if limits != l.limits {
		l.limits = limits
		revision.Update.Limits = &limits
	}
}

// nonIdempotentDelta returns by how much an edit that is not yet in force changes the number of request classes that
// are not idempotent.
func (l *Live) nonIdempotentDelta(edit *tableEdit[gateway.RequestClass]) (delta int) {
	for _, staged := range edit.entries {
		if staged.replaces && l.classes.entries[staged.index].value.Effect == gateway.NonIdempotent {
			delta--
		}
		if !staged.removed && staged.value.Effect == gateway.NonIdempotent {
			delta++
		}
	}
	return delta
}
