package config

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/tidwall/gjson"

	"ravensill/configsync"
)

// maxNumber is the largest number in a resource, in the unit of its key. Numbers up to it can be converted to integers
// and durations without overflow.
const maxNumber = 1e12

var (
	errUnknownKey     = errors.New("unknown key")
	errFixedKey       = errors.New("fixed at the start: it can't change in a running gateway")
	errNull           = errors.New("unexpected value null")
	errTooLarge       = fmt.Errorf("larger than %g", maxNumber)
	errInvalidName    = errors.New("a name is printable ASCII without spaces and commas, as commands give it")
	errNoTimeout      = errors.New("a time above 0 wanted")
	errTimeoutTooLong = errors.New("longer than every hard_limit_us in the gateway's file, which bound how long " +
		"the section pool waits for the requests on an expired lease")
)

// Keys of the objects in a document. They are the keys that DecodePlan, DecodeRequestClass and DecodeSettings read from
// the file. fixedLimitKeys are keys that only a start can change.
var (
	planKeys = newKeyBits("name", "rate", "burst", "parallel", "ceiling_rate", "cap_depth", "ceiling_slack",
		"worth_factor", "extra_worth", "beyond_costs")
	classKeys = newKeyBits("name", "effect", "group", "window_us", "target_us", "hard_limit_us", "points", "late_worth",
		"stream", "aim_stretch")
	limitKeys      = newKeyBits("max_attempts", "parallel_tries", "cancelling", "retry_after", "max_retry_after_us")
	fixedLimitKeys = newKeyBits("peer_messages", "probes", "conn_idle_us", "connect_timeout_us", "streams_per_conn",
		"max_open", "cpu_us_per_request", "cpu_us_per_s")
)

// keyBits maps each known key to a bit, so that a set of keys is a uint32.
type keyBits map[string]uint32

func newKeyBits(keys ...string) keyBits {
	bits := make(keyBits, len(keys))
	for i, key := range keys {
		bits[key] = 1 << i
	}
	return bits
}

// stageChange decodes one change into the edit.
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
	return &ResourceError{Resource: change.Resource, Err: errUnknownResource}
}

func (l *Live) stagePlan(edit *liveEdit, change *configsync.Change, name string) error {
	if change.IsRemoval() {
		l.plans.remove(&edit.plans, name)
		return nil
	}
	object, err := newResourceReader(change, name, planKeys)
	if err != nil {
		return err
	}
	plan, _, adjusted := object.plan()
	if object.err != nil {
		return wrapResourceError(change.Resource, object.err)
	}
	plan.ID, err = l.planID(edit, name)
	if err != nil {
		return &ResourceError{Resource: change.Resource, Err: err}
	}
	l.plans.set(&edit.plans, name, plan)
	edit.adjust(change.Resource, adjusted)
	return nil
}

// planID returns the ID of a quota plan. It returns an error if another name has the same ID, or had it in an earlier
// version: other gateways may still gossip what they admitted to that plan. It records an ID that is new in the edit.
func (l *Live) planID(edit *liveEdit, name string) (uint32, error) {
	id := configsync.PlanID(name)
	otherName, taken := l.planNamesByID[id]
	if !taken {
		otherName, taken = edit.newPlanNamesByID[id]
	}
	if taken && otherName != name {
		return 0, &PlanIDConflictError{ID: id, OtherName: otherName}
	}
	if !taken {
		if edit.newPlanNamesByID == nil {
			edit.newPlanNamesByID = map[uint32]string{}
		}
		edit.newPlanNamesByID[id] = name
	}
	return id, nil
}

// PlanIDConflictError is the error of a quota plan whose ID, a hash of its name, is also that of another name.
type PlanIDConflictError struct {
	ID        uint32
	OtherName string // name of the other plan, which is in force, removed, or in the same changes
}

// Error asks for another name, since the ID follows from it.
func (e *PlanIDConflictError) Error() string {
	return fmt.Sprintf("the name's identity %08x is that of plan %q; another name is wanted", e.ID, e.OtherName)
}

// stageClass decodes one request class. It applies the adjustments for the file's limits except for hedging.
func (l *Live) stageClass(edit *liveEdit, change *configsync.Change, name string) error {
	if change.IsRemoval() {
		l.classes.remove(&edit.classes, name)
		return nil
	}
	object, err := newResourceReader(change, name, classKeys)
	if err != nil {
		return err
	}
	class, _ := object.requestClass()
	limits := l.file.limits
	limits.Hedging = false // commitLimits decides this from all classes in force
	adjusted := object.resolveClass(&class, &limits)
	if object.err != nil {
		return wrapResourceError(change.Resource, object.err)
	}
	if class.Timeout <= 0 {
		return &ResourceError{Resource: change.Resource, Key: "hard_limit_us", Err: errNoTimeout}
	}
	if longest := l.file.longestTimeout; longest > 0 && class.Timeout > longest {
		return &ResourceError{Resource: change.Resource, Key: "hard_limit_us", Err: errTimeoutTooLong}
	}
	l.classes.set(&edit.classes, name, class)
	edit.adjust(change.Resource, adjusted)
	return nil
}

// stageLimits decodes the resource of the limits. A key that its object lacks is zero, not as in the file. Limits that
// documents can't change stay those of the file.
func (l *Live) stageLimits(edit *liveEdit, change *configsync.Change) error {
	if change.IsRemoval() {
		edit.limits = l.file.limits
		return nil
	}
	object, err := newStrictReader(change, limitKeys, fixedLimitKeys)
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
		return wrapResourceError(change.Resource, object.err)
	}
	edit.limits = limits
	return nil
}

// newResourceReader returns a reader of the object of a quota plan or request class. The object's key name is optional;
// if it is present, it must equal the name in the resource.
func newResourceReader(change *configsync.Change, name string, known keyBits) (*objectReader, error) {
	if !validName(name) {
		return nil, &ResourceError{Resource: change.Resource, Err: errInvalidName}
	}
	object, err := newStrictReader(change, known, nil)
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

// validName reports whether a client's command can contain the name: printable ASCII without spaces and commas.
func validName(name string) bool {
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' || name[i] == ',' {
			return false
		}
	}
	return name != ""
}

// newStrictReader returns a reader of a resource's object, in which every key has to be known and may occur once. The
// file, in contrast, may contain unknown keys, since tools of a newer version may have written it.
func newStrictReader(change *configsync.Change, known, fixed keyBits) (*objectReader, error) {
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

// checkKey returns an error for keys and values that the reader of the file would ignore or convert wrongly.
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
		return errTooLarge
	}
	return nil
}

// wrapResourceError returns a ResourceError for an error of the reader, with the key if the error is about one.
func wrapResourceError(resource configsync.Resource, err error) error {
	var keyErr *KeyError
	if !errors.As(err, &keyErr) {
		return &ResourceError{Resource: resource, Err: err}
	}
	return &ResourceError{Resource: resource, Key: keyErr.Path, Err: keyErr.Err}
}

// adjust records the adjustments made to a resource.
func (e *liveEdit) adjust(resource configsync.Resource, adjusted []Adjustment) {
	for _, adjustment := range adjusted {
		adjustment.Key = fmt.Sprintf("%s: %s", resource, adjustment.Key)
		e.adjusted = append(e.adjusted, adjustment)
	}
}
