package config

import (
	"errors"

	"ravensill/gateway"
)

// errIncompleteClass is the error of a request class without a name, so that commands could not refer to it, or without
// a timeout, so that its requests could wait for ever.
var errIncompleteClass = errors.New("name and hard_limit_us wanted")

// DecodeRequestClass reads one request class from its JSON object, by the same code as DecodeSettings reads the list of
// them. path is the place of the object under the key settings, such as "profiles.3"; errors and adjustments name keys
// by it. limits are the limits in force: hedging is turned off in them if the class is not idempotent.
func DecodeRequestClass(path, raw string, limits *gateway.Limits) (class gateway.RequestClass, name string,
	adjusted []Adjustment, err error) {
	reader, err := newObjectReader(path, raw)
	if err != nil {
		return gateway.RequestClass{}, "", nil, err
	}
	class, name = reader.requestClass()
	adjusted = reader.resolveClass(&class, limits)
	if reader.err == nil {
		reader.err = keyError(path, checkClass(name, class))
	}
	return class, name, adjusted, reader.err
}

// requestClass reads the object as one request class, without adjustments. The keys that it reads are in classKeys.
func (r *objectReader) requestClass() (class gateway.RequestClass, name string) {
	name = r.text("name")
	class = gateway.RequestClass{
		Effect:           gateway.Effect(r.choiceIndex("effect", "safe", "keyed", "unsafe")),
		Group:            gateway.DedupGroup(r.choiceIndex("group", "all", "zone", "cell")),
		DedupWindow:      r.microseconds("window_us"),
		LatencyObjective: r.microseconds("target_us"),
		Timeout:          r.microseconds("hard_limit_us"),
		Value:            r.number("points"),
		LateValue:        r.number("late_worth"),
		Stream:           r.boolean("stream"),
	}
	return class, name
}

// resolveClass adjusts keys of a request class that contradict each other or the limits. It turns hedging off in limits
// if the class is not idempotent, since hedging may run a request twice.
func (r *objectReader) resolveClass(class *gateway.RequestClass, limits *gateway.Limits) (adjusted []Adjustment) {
	adjust := func(key, meaning string, args ...any) {
		adjusted = append(adjusted, adjustment(key, meaning, args...))
	}
	if limits.Hedging && class.Effect == gateway.NonIdempotent {
		adjust("limits.parallel_tries", "as false: %seffect is unsafe", r.prefix)
		limits.Hedging = false
	}
	if class.Effect == gateway.Deduplicated && class.DedupWindow == 0 { // hosts would not drop a repeated request
		if r.get("window_us").Exists() {
			adjust(r.prefix+"window_us", "0 is no window: as unsafe, what may have run is never sent again")
		}
		class.Effect = gateway.NonIdempotent
	}
	if class.LateValue > 1 {
		adjust(r.prefix+"late_worth", "as 1: a late answer earns no more than one in time")
		class.LateValue = 1
	}
	if class.LatencyObjective == 0 && class.Timeout > 0 {
		adjust(r.prefix+"target_us", "as hard_limit_us: none is set")
		class.LatencyObjective = class.Timeout
	}
	if class.LatencyObjective > class.Timeout && class.Timeout > 0 {
		adjust(r.prefix+"target_us", "as hard_limit_us: nobody waits for longer")
		class.LatencyObjective = class.Timeout
	}
	if limits.SharedCounter && 2*limits.CounterTimeout >= class.Timeout && class.Timeout > 0 {
		meaning := "half of %shard_limit_us or more: its requests are decided without the counter"
		adjust("family_info.count_wait_us", meaning, r.prefix)
	}
	return adjusted
}

// checkClass returns an error for a request class that lacks a name or a timeout.
func checkClass(name string, class gateway.RequestClass) error {
	if name == "" || class.Timeout <= 0 {
		return errIncompleteClass
	}
	return nil
}
