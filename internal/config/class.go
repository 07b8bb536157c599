package config

import (
	"errors"

	"ravensill/gateway"
)

// errBareClass is the fault of a request class that commands could not name, or whose requests would never end.
var errBareClass = errors.New("name and hard_limit_us wanted")

// DecodeRequestClass reads one request class from its own JSON object, by the same code as the list of a whole
// configuration. path is its place among the settings, such as "profiles.3"; errors and adjustments name keys by it.
// limits are those in force: of a class that must never run twice, parallel tries are taken out of them.
func DecodeRequestClass(path, raw string, limits *gateway.Limits) (class gateway.RequestClass, name string,
	adjusted []Adjustment, err error) {
	item, err := newSettings(path, raw)
	if err != nil {
		return gateway.RequestClass{}, "", nil, err
	}
	class, name = item.requestClass()
	adjusted = item.shapeClass(&class, limits)
	if item.err == nil {
		item.err = keyError(path, checkClass(name, class))
	}
	return class, name, adjusted, item.err
}

// requestClass reads the object as one request class, by its letter.
func (s *settings) requestClass() (class gateway.RequestClass, name string) {
	name = s.text("name")
	class = gateway.RequestClass{
		Effect:           gateway.Effect(s.word("effect", "safe", "keyed", "unsafe")),
		Group:            gateway.Group(s.word("group", "all", "zone", "cell")),
		DedupWindow:      s.duration("window_us"),
		LatencyObjective: s.duration("target_us"),
		Timeout:          s.duration("hard_limit_us"),
		Value:            s.num("points"),
		LateValue:        s.num("late_worth"),
		Stream:           s.yes("stream"),
	}
	return class, name
}

// shapeClass gives keys of a request class that contradict each other, or the limits, their one meaning.
func (s *settings) shapeClass(class *gateway.RequestClass, limits *gateway.Limits) (adjusted []Adjustment) {
	adjust := func(key, meaning string, args ...any) {
		adjusted = append(adjusted, adjustment(key, meaning, args...))
	}
	if limits.Hedging && class.Effect == gateway.NonIdempotent {
		adjust("limits.parallel_tries", "as false: %seffect is unsafe", s.prefix)
		limits.Hedging = false
	}
	if class.Effect == gateway.Deduplicated && class.DedupWindow == 0 { // no host drops a repeat
		if s.get("window_us").Exists() {
			adjust(s.prefix+"window_us", "0 is no window: as unsafe, what may have run is never sent again")
		}
		class.Effect = gateway.NonIdempotent
	}
	if class.LateValue > 1 {
		adjust(s.prefix+"late_worth", "as 1: a late answer earns no more than one in time")
		class.LateValue = 1
	}
	if class.LatencyObjective == 0 && class.Timeout > 0 {
		adjust(s.prefix+"target_us", "as hard_limit_us: none is told")
		class.LatencyObjective = class.Timeout
	}
	if class.LatencyObjective > class.Timeout && class.Timeout > 0 {
		adjust(s.prefix+"target_us", "as hard_limit_us: nobody waits for longer")
		class.LatencyObjective = class.Timeout
	}
	if limits.SharedCounter && 2*limits.CounterTimeout >= class.Timeout && class.Timeout > 0 {
		adjust("family_info.count_wait_us", "half of %shard_limit_us or more: its reqs are decided without the counter", s.prefix)
	}
	return adjusted
}

// checkClass looks for what a gateway on sockets can't do without.
func checkClass(name string, class gateway.RequestClass) error {
	if name == "" || class.Timeout <= 0 {
		return errBareClass
	}
	return nil
}
