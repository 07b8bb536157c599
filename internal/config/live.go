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

// yieldInterval is the number of changes that are decoded in one go, some 0.3 ms: the gateway has one processor, and its
// requests must not wait for a whole document.
const yieldInterval = 64

var (
	errLastPlan  = errors.New("the last quota plan can't be removed")
	errLastClass = errors.New("the last request class can't be removed")
	errOwnMember = errors.New("missing: it is the member index of this gateway")
	errNoListen  = errors.New("this gateway has no peer_listen, at which other members could reach it")
	errFixedSize = errors.New("the number of gateways is fixed at the start by the section pool")
	errUnknown   = errors.New("no such kind of resource")
)

// ResourceError tells why a change of the configuration can't be taken.
type ResourceError struct {
	Resource configsync.Resource
	Key      string // of the resource's object; empty: the resource as a whole
	Err      error
}

func (e *ResourceError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %v", e.Resource, e.Err)
	}
	return fmt.Sprintf("%s: %s: %v", e.Resource, e.Key, e.Err)
}

func (e *ResourceError) Unwrap() error { return e.Err }

// Live is the decoded configuration in force: quota plans, request classes, limits and members, as the file says or as
// the last document changed them. What a document doesn't name at all, the limits or any member, is as the file says.
// The publishers check a change by the same code before it is published (NewLiveChecker).
//
// A Live belongs to one goroutine. Apply and Check cost what they change, except for a whole document.
type Live struct {
	plans           table[gateway.Plan]
	classes         table[gateway.RequestClass]
	identities      map[uint32]string // names of quota plans by identity, removed ones too
	members         members
	limits          gateway.Limits // in force
	requestedLimits gateway.Limits // the same but for Two: as given, whatever the request classes are
	unsafeClasses   int            // request classes in force that must never run twice
	file            fileSettings
}

// fileSettings is what the gateway's own file says and no document changes.
type fileSettings struct {
	limits         gateway.Limits
	longestTimeout time.Duration // of request classes; 0: not bounded
	fixedSize      bool          // the number of members can't change
}

// NewLive starts from what the file of a gateway says.
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
	live.unsafeClasses = live.unsafeChange(&classes)
	live.classes.commit(&classes)
	return live
}

// NewLiveChecker makes a Live for a publisher, which has no gateway's file: it starts with no quota plan and no request
// class, and of the members it knows only those of the document.
func NewLiveChecker() *Live {
	return &Live{identities: map[uint32]string{}, members: members{own: noMember}}
}

// newLive makes a Live for a gateway, without the quota plans and request classes of its file.
func newLive(base *Config) *Live {
	live := &Live{
		identities:      make(map[uint32]string, len(base.Plans)),
		limits:          base.Limits,
		requestedLimits: base.Limits,
		members:         newMembers(base),
		file:            fileSettings{limits: base.Limits, fixedSize: base.Pool != nil},
	}
	if base.Pool != nil { // its leases outlive the longest request that the file allows
		for _, class := range base.Classes {
			live.file.longestTimeout = max(live.file.longestTimeout, class.Timeout)
		}
	}
	return live
}

// Revision is what one change made of the configuration in force.
type Revision struct {
	Update      gateway.Update // for the decision module
	PlanNames   []string       // of Update.Plans, in its order
	Classes     []ClassChange  // those of Update.Classes, and the removed ones
	Members     []MemberChange // addresses that changed
	MemberCount int            // gateways of the fleet now; indices from here on are gone
	PlanCount   int            // quota plans in force now
	ClassCount  int            // request classes in force now
	Adjusted    []Adjustment   // what was not taken by its letter
}

// ClassChange sets or removes a request class.
type ClassChange struct {
	Name    string
	Index   int
	Class   gateway.RequestClass // as it was last, where it is removed
	Removed bool
}

// MemberChange sets the address that a gateway gossips at.
type MemberChange struct {
	Index   int
	Address netip.AddrPort
}

// Apply puts changes in force, each resource named once; whole: what they don't name is removed. On an error, a
// *ResourceError, nothing has changed. The removal of what is not there is no change.
func (l *Live) Apply(changes []configsync.Change, whole bool) (*Revision, error) {
	edit, err := l.stage(changes, whole)
	if err != nil {
		return nil, err
	}
	return l.commit(edit), nil
}

// Check tells what Apply would, and changes nothing.
func (l *Live) Check(changes []configsync.Change, whole bool) error {
	_, err := l.stage(changes, whole)
	return err
}

// liveEdit is a change of all parts that is checked but not yet in force.
type liveEdit struct {
	plans      tableEdit[gateway.Plan]
	classes    tableEdit[gateway.RequestClass]
	identities map[uint32]string // of new quota plans
	members    memberEdit
	limits     gateway.Limits // as given
	adjusted   []Adjustment

	fromNothing bool // of a start: nobody needs the list of what changed
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
func (l *Live) stage(changes []configsync.Change, whole bool) (*liveEdit, error) {
	plans, classes := countKinds(changes)
	edit := &liveEdit{
		plans:   l.plans.edit(plans),
		classes: l.classes.edit(classes),
		members: l.members.edit(whole),
		limits:  l.requestedLimits,
	}
	if whole {
		edit.limits = l.file.limits
	}
	named := make(map[configsync.Resource]bool, len(changes))
	for i := range changes {
		if i%yieldInterval == yieldInterval-1 {
			runtime.Gosched()
		}
		change := &changes[i]
		if named[change.Resource] {
			return nil, &ResourceError{Resource: change.Resource, Err: errGivenTwice}
		}
		named[change.Resource] = true
		if err := l.stageChange(edit, change); err != nil {
			return nil, err
		}
	}
	if whole {
		l.plans.removeOthers(&edit.plans, func(name string) bool { return named[configsync.PlanPrefix+configsync.Resource(name)] })
		l.classes.removeOthers(&edit.classes, func(name string) bool { return named[configsync.ClassPrefix+configsync.Resource(name)] })
	}
	if edit.plans.count == 0 {
		return nil, &ResourceError{Resource: configsync.PlanPrefix, Err: errLastPlan}
	}
	if edit.classes.count == 0 {
		return nil, &ResourceError{Resource: configsync.ClassPrefix, Err: errLastClass}
	}
	if err := l.checkMembers(&edit.members); err != nil {
		return nil, err
	}
	return edit, nil
}

// commit puts an edit in force and tells what it changed.
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
	if edit.fromNothing || len(edit.plans.entries) == 0 {
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
	l.unsafeClasses += l.unsafeChange(&edit.classes)
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
	limits.Hedging = limits.Hedging && l.unsafeClasses == 0
	if limits != l.limits {
		l.limits = limits
		revision.Update.Limits = &limits
	}
}

// unsafeChange tells by how many an edit that is not yet in force changes the number of request classes that must never
// run twice.
func (l *Live) unsafeChange(edit *tableEdit[gateway.RequestClass]) (change int) {
	for _, staged := range edit.entries {
		if staged.had && l.classes.entries[staged.index].value.Effect == gateway.NonIdempotent {
			change--
		}
		if !staged.removed && staged.value.Effect == gateway.NonIdempotent {
			change++
		}
	}
	return change
}
