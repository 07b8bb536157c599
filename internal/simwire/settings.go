package simwire

import (
	"errors"
	"fmt"

	"github.com/tidwall/gjson"

	"ravensill/gateway"
)

const us = 1000 // nanoseconds

// settings reads values of the settings object by path; it keeps the first fault. Absent keys read as zero.
type settings struct {
	obj gjson.Result
	err error
}

func (s *settings) at(path string, want ...gjson.Type) gjson.Result {
	v := s.obj.Get(path)
	if !v.Exists() || v.Type == gjson.Null || s.err != nil {
		return gjson.Result{}
	}
	for _, t := range want {
		if v.Type == t {
			return v
		}
	}
	s.err = fmt.Errorf("%s: unexpected value %.40s", path, v.Raw)
	return gjson.Result{}
}

func (s *settings) num(path string) float64 {
	v := s.at(path, gjson.Number).Num
	if v < 0 && s.err == nil {
		s.err = fmt.Errorf("%s: below zero", path)
	}
	return v
}
func (s *settings) whole(path string) int  { return int(s.num(path)) }
func (s *settings) time(path string) int64 { return int64(s.num(path) * us) }
func (s *settings) yes(path string) bool   { return s.at(path, gjson.True, gjson.False).Bool() }

// word gives the index of the text at path in the choices, the first standing for an absent key too.
func (s *settings) word(path string, choices ...string) int {
	v := s.at(path, gjson.String)
	for i, c := range choices {
		if v.Str == c {
			return i
		}
	}
	if v.Exists() && s.err == nil {
		s.err = fmt.Errorf("%s: unknown word %q", path, v.Str)
	}
	return 0
}

// each calls f with the path of every object in the list at path.
func (s *settings) each(path string, f func(item string)) {
	list := s.obj.Get(path)
	if list.Exists() && !list.IsArray() && s.err == nil {
		s.err = fmt.Errorf("%s: not a list", path)
	}
	for i := range list.Array() {
		f(fmt.Sprintf("%s.%d", path, i))
	}
}

// start reads the settings text and starts a gateway with it.
func start(seed uint64, text string, begin Start) (*instance, error) {
	if !gjson.Valid(text) || !gjson.Parse(text).IsObject() {
		return nil, errors.New("not a JSON object")
	}
	s := &settings{obj: gjson.Parse(text)}
	var fronts []gateway.Frontend
	s.each("profiles", func(p string) {
		fronts = append(fronts, gateway.Frontend{
			Effect: gateway.Effect(s.word(p+".effect", "safe", "keyed", "unsafe")),
			Group:  gateway.Group(s.word(p+".group", "all", "zone", "cell")),
			Window: s.time(p + ".window_us"), Target: s.time(p + ".target_us"), Timeout: s.time(p + ".hard_limit_us"),
			Value: s.num(p + ".points"), Late: s.num(p + ".late_worth"), Stream: s.yes(p + ".stream"),
		})
	})
	var plans []gateway.Plan
	s.each("plans", func(p string) {
		plans = append(plans, gateway.Plan{
			Rate: s.num(p + ".rate"), Burst: s.num(p + ".burst"), Open: s.whole(p + ".parallel"),
			CeilingRate: s.num(p + ".ceiling_rate"), CeilingBurst: s.num(p + ".cap_depth"),
			Slack: s.num(p + ".ceiling_slack"), Price: s.num(p + ".worth_factor"),
			BeyondValue: s.num(p + ".extra_worth"), BeyondCost: s.num(p + ".beyond_costs"),
		})
	})
	seat := gateway.Seat{
		Index: s.whole("position"), Count: s.whole("balancers"), Zone: s.whole("locality"),
		Messages: s.yes("limits.peer_messages"), PerSecond: s.num("family_info.mail_per_s"),
	}
	limits := gateway.Limits{
		Dispatches: s.whole("limits.max_attempts"), Two: s.yes("limits.parallel_tries"),
		Cancel: s.yes("limits.cancelling"), Probes: s.yes("limits.probes"),
		RetryAfter: s.yes("limits.retry_after"), LongestAdvice: s.time("limits.max_retry_after_us"),
		MustAsk: s.word("membership_mode", "pushed", "on_request") == 1,
		Settles: s.yes("family_info.settles"),
	}
	cold := gateway.Cold{
		From: s.num("rules.start_capacity"), Warm: s.time("rules.warm_up_us"),
		Multiple: s.num("rules.fall_multiple"), Window: s.time("rules.fall_us"),
	}
	how := s.word("report.how", "off", "inline", "on_probe")
	report := gateway.Report{Answers: how == 1, Probes: how == 2}
	for _, name := range s.obj.Get("report.names").Array() {
		report.Fields = append(report.Fields, field(name.Str))
	}
	if s.err == nil && (seat.Count < 1 || seat.Index >= seat.Count) {
		s.err = fmt.Errorf("position: %d is not below balancers", seat.Index)
	}
	if s.err != nil {
		return nil, s.err
	}
	return &instance{decider: begin(seed, seat, fronts, plans, limits, cold, report),
		fronts: len(fronts), plans: len(plans), seats: seat.Count}, nil
}

func field(name string) gateway.Field {
	switch name {
	case "outstanding":
		return gateway.OpenReqs
	case "backlog":
		return gateway.Waiting
	case "utilization":
		return gateway.BusyShare
	case "recent_ms":
		return gateway.RecentTime
	case "throughput":
		return gateway.PassRate
	case "errors_per_s":
		return gateway.ErrorRate
	}
	return gateway.Other
}
