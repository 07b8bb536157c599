package config

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/tidwall/gjson"

	"ravensill/configsync"
)

// maxNumber bounds the numbers of a resource, in the unit of their key, so that no conversion overflows.
const maxNumber = 1e12

var (
	errUnknownKey = errors.New("unknown key")
	errFixedKey   = errors.New("fixed at the start: it can't change in a running gateway")
	errNull       = errors.New("unexpected value null")
	errRange      = fmt.Errorf("larger than %g", maxNumber)
	errBadName    = errors.New("a name is printable ASCII without spaces and commas, as commands give it")
	errTimeout    = errors.New("a time above 0 wanted")
	errTooLong    = errors.New("longer than that of any request class of the file, " +
		"by which the section pool lends connections")
)

// Keys of the objects in a document. They are the keys that DecodePlan, DecodeRequestClass and Decode read in the file.
var (
	planKeys = keySet("name", "rate", "burst", "parallel", "ceiling_rate", "cap_depth", "ceiling_slack", "worth_factor",
		"extra_worth", "beyond_costs")
	classKeys = keySet("name", "effect", "group", "window_us", "target_us", "hard_limit_us", "points", "late_worth",
		"stream", "aim_stretch")
	limitKeys      = keySet("max_attempts", "parallel_tries", "cancelling", "retry_after", "max_retry_after_us")
	fixedLimitKeys = keySet("peer_messages", "probes", "conn_idle_us", "connect_timeout_us", "streams_per_conn",
		"max_open", "cpu_us_per_request", "cpu_us_per_s")
)

// keyBits maps each known key to a bit of the set of keys that were seen.
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
	if resource == configsync.LimitsResource {
		return l.stageLimits(edit, change)
	}
	return &ResourceError{Resource: change.Resource, Err: errUnknown}
}

func (l *Live) stagePlan(edit *liveEdit, change *configsync.Change, name string) error {
	if change.IsRemoval() {
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
	plan.ID, err = l.identity(edit, name)
	if err != nil {
		return &ResourceError{Resource: change.Resource, Err: err}
	}
	l.plans.set(&edit.plans, name, plan)
	edit.adjust(change.Resource, adjusted)
	return nil
}

// identity returns the identity of a quota plan. One that another name has or had is an error: other gateways may still
// gossip what they admitted to that plan.
func (l *Live) identity(edit *liveEdit, name string) (uint32, error) {
	id := configsync.PlanID(name)
	owner, taken := l.identities[id]
	if !taken {
		owner, taken = edit.identities[id]
	}
	if taken && owner != name {
		return 0, &PlanIDConflictError{ID: id, OtherName: owner}
	}
	if !taken {
		if edit.identities == nil {
			edit.identities = map[uint32]string{}
		}
		edit.identities[id] = name
	}
	return id, nil
}

// PlanIDConflictError is the error of a quota plan's name whose identity, a hash, is that of another name.
type PlanIDConflictError struct {
	ID        uint32
	OtherName string // of a plan in force or removed
}

func (e *PlanIDConflictError) Error() string {
	return fmt.Sprintf("the name's identity %08x is that of plan %q; another name is wanted", e.ID, e.OtherName)
}

func (l *Live) stageClass(edit *liveEdit, change *configsync.Change, name string) error {
	if change.IsRemoval() {
		l.classes.remove(&edit.classes, name)
		return nil
	}
	object, err := newResource(change, name, classKeys)
	if err != nil {
		return err
	}
	class, _ := object.requestClass()
	limits := l.file.limits
	limits.Hedging = false // commitLimits decides by all classes
	adjusted := object.resolveClass(&class, &limits)
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
	if change.IsRemoval() {
		edit.limits = l.file.limits
		return nil
	}
	object, err := newObject(change, limitKeys, fixedLimitKeys)
	if err != nil {
		return err
	}
	limits := l.file.limits
	limits.MaxAttempts = object.integer("max_attempts")
	limits.Hedging = object.boolean("parallel_tries")
	limits.Cancellation = object.boolean("cancelling")
	limits.RetryAfter = object.boolean("retry_after")
	limits.MaxRetryAfter = object.microseconds("max_retry_after_us")
	if object.err != nil {
		return resourceError(change.Resource, object.err)
	}
	edit.limits = limits
	return nil
}

// newResource returns a reader of a named resource's object, whose key name is optional.
func newResource(change *configsync.Change, name string, known keyBits) (*objectReader, error) {
	if !validName(name) {
		return nil, &ResourceError{Resource: change.Resource, Err: errBadName}
	}
	object, err := newObject(change, known, nil)
	if err != nil {
		return nil, err
	}
	given := object.get("name")
	if given.Exists() && (given.Type != gjson.String || given.Str != name) {
		err := fmt.Errorf("%.40s is not the resource's name", given.Raw)
		return nil, &ResourceError{Resource: change.Resource, Key: "name", Err: err}
	}
	return object, nil
}

// validName reports whether a client's command can contain a name.
func validName(name string) bool {
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' || name[i] == ',' {
			return false
		}
	}
	return name != ""
}

// newObject returns a reader of a resource's object. Unlike the file, which tools of a newer version may have written,
// the object has known keys alone, each once.
func newObject(change *configsync.Change, known, fixed keyBits) (*objectReader, error) {
	object, err := newObjectReader("", string(change.Value))
	if err != nil {
		return nil, &ResourceError{Resource: change.Resource, Err: err}
	}
	seen := uint32(0)
	object.object.ForEach(func(key, value gjson.Result) bool {
		if err = checkKey(key.Str, value, known, fixed, seen); err != nil {
			err = &ResourceError{Resource: change.Resource, Key: key.Str, Err: err}
		}
		seen |= known[key.Str]
		return err == nil
	})
	return object, err
}

// checkKey returns an error for what the reader of the file ignores.
func checkKey(key string, value gjson.Result, known, fixed keyBits, seen uint32) error {
	switch {
	case fixed[key] != 0:
		return errFixedKey
	case known[key] == 0:
		return errUnknownKey
	case seen&known[key] != 0:
		return errRepeated
	case value.Type == gjson.Null:
		return errNull
	case value.Type == gjson.Number && !(math.Abs(value.Num) <= maxNumber):
		return errRange
	}
	return nil
}

// resourceError wraps an error of the reader with its resource and key.
func resourceError(resource configsync.Resource, err error) error {
	var ofKey *KeyError
	if !errors.As(err, &ofKey) {
		return &ResourceError{Resource: resource, Err: err}
	}
	return &ResourceError{Resource: resource, Key: ofKey.Path, Err: ofKey.Err}
}

// adjust records the adjustments of a resource.
func (e *liveEdit) adjust(resource configsync.Resource, adjusted []Adjustment) {
	for _, adjustment := range adjusted {
		adjustment.Key = fmt.Sprintf("%s: %s", resource, adjustment.Key)
		e.adjusted = append(e.adjusted, adjustment)
	}
}
