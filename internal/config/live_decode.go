package config

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/tidwall/gjson"

	"ravensill/configsync"
)

// mostNumber bounds the numbers of a resource, in the unit of their key: so far no conversion overflows.
const mostNumber = 1e12

var (
	errUnknownKey = errors.New("unknown key")
	errFixedKey   = errors.New("fixed at the start: it can't change in a running gateway")
	errNull       = errors.New("unexpected value null")
	errRange      = fmt.Errorf("larger than %g", mostNumber)
	errBadName    = errors.New("a name is printable ASCII without spaces and commas, as commands give it")
	errTimeout    = errors.New("a time above 0 wanted")
	errTooLong    = errors.New("longer than that of any request class of the file, by which the section pool lends connections")
)

// Keys of the objects that a document holds: those of the file that DecodePlan, DecodeRequestClass and Decode read.
var (
	planKeys = keySet("name", "rate", "burst", "parallel", "ceiling_rate", "cap_depth", "ceiling_slack", "worth_factor",
		"extra_worth", "beyond_costs")
	classKeys = keySet("name", "effect", "group", "window_us", "target_us", "hard_limit_us", "points", "late_worth",
		"stream", "aim_stretch")
	limitKeys      = keySet("max_attempts", "parallel_tries", "cancelling", "retry_after", "max_retry_after_us")
	fixedLimitKeys = keySet("peer_messages", "probes", "conn_idle_us", "connect_timeout_us", "streams_per_conn", "max_open",
		"cpu_us_per_request", "cpu_us_per_s")
)

// keyBits gives each known key a bit, by which a reader notes that it has seen it.
type keyBits map[string]uint32

func keySet(keys ...string) keyBits {
	bits := make(keyBits, len(keys))
	for i, key := range keys {
		bits[key] = 1 << i
	}
	return bits
}

// stageChange decodes one change into an edit.
func (l *Live) stageChange(edit *liveEdit, change *configsync.Change) error {
	resource := string(change.Resource)
	if name, ok := strings.CutPrefix(resource, configsync.PlanPrefix); ok {
		return l.stagePlan(edit, change, name)
	}
	if name, ok := strings.CutPrefix(resource, configsync.ClassPrefix); ok {
		return l.stageClass(edit, change, name)
	}
	if index, ok := strings.CutPrefix(resource, configsync.MemberPrefix); ok {
		return l.stageMember(edit, change, index)
	}
	if resource == configsync.LimitsName {
		return l.stageLimits(edit, change)
	}
	return &ResourceError{Resource: change.Resource, Err: errUnknown}
}

func (l *Live) stagePlan(edit *liveEdit, change *configsync.Change, name string) error {
	if change.Removed() {
		l.plans.remove(&edit.plans, name)
		return nil
	}
	object, err := newResource(change, name, planKeys)
	if err != nil {
		return err
	}
	plan, _, adjusted := object.plan()
	if object.err != nil {
		return resourceError(change.Resource, object.err)
	}
	if plan.ID, err = l.identity(edit, name); err != nil {
		return &ResourceError{Resource: change.Resource, Err: err}
	}
	l.plans.set(&edit.plans, name, plan)
	edit.adjust(change.Resource, adjusted)
	return nil
}

// identity gives the identity of a quota plan. One that another name has or had is refused: other gateways may still
// tell what was admitted to that plan.
func (l *Live) identity(edit *liveEdit, name string) (uint32, error) {
	id := configsync.PlanID(name)
	holder, taken := l.identities[id]
	if !taken {
		holder, taken = edit.identities[id]
	}
	if taken && holder != name {
		return 0, &IdentityError{ID: id, Holder: holder}
	}
	if !taken {
		if edit.identities == nil {
			edit.identities = map[uint32]string{}
		}
		edit.identities[id] = name
	}
	return id, nil
}

// IdentityError tells that the identity of a quota plan's name, a hash, is that of another name.
type IdentityError struct {
	ID     uint32
	Holder string // the other name; it may have been removed since
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("the name's identity %08x is that of plan %q; another name is wanted", e.ID, e.Holder)
}

func (l *Live) stageClass(edit *liveEdit, change *configsync.Change, name string) error {
	if change.Removed() {
		l.classes.remove(&edit.classes, name)
		return nil
	}
	object, err := newResource(change, name, classKeys)
	if err != nil {
		return err
	}
	class, _ := object.requestClass()
	limits := l.file.limits
	limits.Hedging = false // by all classes together: commitLimits
	adjusted := object.shapeClass(&class, &limits)
	if object.err != nil {
		return resourceError(change.Resource, object.err)
	}
	if class.Timeout <= 0 {
		return &ResourceError{Resource: change.Resource, Key: "hard_limit_us", Err: errTimeout}
	}
	if longest := l.file.longestTimeout; longest > 0 && class.Timeout > longest {
		return &ResourceError{Resource: change.Resource, Key: "hard_limit_us", Err: errTooLong}
	}
	l.classes.set(&edit.classes, name, class)
	edit.adjust(change.Resource, adjusted)
	return nil
}

func (l *Live) stageLimits(edit *liveEdit, change *configsync.Change) error {
	if change.Removed() {
		edit.limits = l.file.limits
		return nil
	}
	object, err := newObject(change, limitKeys, fixedLimitKeys)
	if err != nil {
		return err
	}
	limits := l.file.limits
	limits.MaxAttempts = object.whole("max_attempts")
	limits.Hedging = object.yes("parallel_tries")
	limits.Cancellation = object.yes("cancelling")
	limits.RetryAfter = object.yes("retry_after")
	limits.MaxRetryAfter = object.duration("max_retry_after_us")
	if object.err != nil {
		return resourceError(change.Resource, object.err)
	}
	edit.limits = limits
	return nil
}

// newResource reads the object of a named resource. Its key name may be left out.
func newResource(change *configsync.Change, name string, known keyBits) (*settings, error) {
	if !commandWord(name) {
		return nil, &ResourceError{Resource: change.Resource, Err: errBadName}
	}
	object, err := newObject(change, known, nil)
	if err != nil {
		return nil, err
	}
	if given := object.get("name"); given.Exists() && (given.Type != gjson.String || given.Str != name) {
		err := fmt.Errorf("%.40s is not the resource's name", given.Raw)
		return nil, &ResourceError{Resource: change.Resource, Key: "name", Err: err}
	}
	return object, nil
}

// commandWord tells whether a client's command can give a name.
func commandWord(name string) bool {
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' || name[i] == ',' {
			return false
		}
	}
	return name != ""
}

// newObject reads a resource's object. Unlike the file, which may come from a newer build's tools, it holds known keys
// only, each once.
func newObject(change *configsync.Change, known, fixed keyBits) (*settings, error) {
	object, err := newSettings("", string(change.Value))
	if err != nil {
		return nil, &ResourceError{Resource: change.Resource, Err: err}
	}
	seen := uint32(0)
	object.obj.ForEach(func(key, value gjson.Result) bool {
		if err = checkKey(key.Str, value, known, fixed, seen); err != nil {
			err = &ResourceError{Resource: change.Resource, Key: key.Str, Err: err}
		}
		seen |= known[key.Str]
		return err == nil
	})
	return object, err
}

// checkKey looks for what the file's reader passes over.
func checkKey(key string, value gjson.Result, known, fixed keyBits, seen uint32) error {
	switch {
	case fixed[key] != 0:
		return errFixedKey
	case known[key] == 0:
		return errUnknownKey
	case seen&known[key] != 0:
		return errGivenTwice
	case value.Type == gjson.Null:
		return errNull
	case value.Type == gjson.Number && !(math.Abs(value.Num) <= mostNumber):
		return errRange
	}
	return nil
}

// resourceError makes a fault of the reader one of a resource, and of its key where it is one of a key.
func resourceError(resource configsync.Resource, fault error) error {
	var ofKey *KeyError
	if !errors.As(fault, &ofKey) {
		return &ResourceError{Resource: resource, Err: fault}
	}
	return &ResourceError{Resource: resource, Key: ofKey.Path, Err: ofKey.Err}
}

// adjust notes what was not taken by its letter.
func (e *liveEdit) adjust(resource configsync.Resource, adjusted []Adjustment) {
	for _, a := range adjusted {
		a.Key = fmt.Sprintf("%s: %s", resource, a.Key)
		e.adjusted = append(e.adjusted, a)
	}
}
