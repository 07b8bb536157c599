// Package config reads, checks and gives defaults to all that a gateway is told. Messages name the faulty key.
package config

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

// Settings is what a deployment tells each of its gateways, on every wire.
type Settings struct {
	Seat   gateway.Seat
	Fronts []gateway.Frontend
	Plans  []gateway.Plan
	Limits gateway.Limits
	Cold   gateway.Cold
	Report gateway.Report

	FrontNames, PlanNames, ReportNames, Zones, Machines []string // by index
	ConnIdle, ConnectTimeout                            int64    // of connections to hosts

	Even     bool         // the list's shares are figures of the moment, no sizes: each host counts as 1
	Adjusted []Adjustment // what was not taken by its letter
}

// Decode reads the settings object.
func Decode(text string) (*Settings, error) {
	if !gjson.Valid(text) || !gjson.Parse(text).IsObject() {
		return nil, errors.New("not a JSON object")
	}
	s, d := &settings{obj: gjson.Parse(text)}, &Settings{}
	s.each("profiles", func(p string) {
		d.FrontNames = append(d.FrontNames, s.at(p+".name", gjson.String).Str)
		d.Fronts = append(d.Fronts, gateway.Frontend{
			Effect: gateway.Effect(s.word(p+".effect", "safe", "keyed", "unsafe")),
			Group:  gateway.Group(s.word(p+".group", "all", "zone", "cell")),
			Window: s.time(p + ".window_us"), Target: s.time(p + ".target_us"), Timeout: s.time(p + ".hard_limit_us"),
			Value: s.num(p + ".points"), Late: s.num(p + ".late_worth"), Stream: s.yes(p + ".stream"),
		})
	})
	s.each("plans", func(p string) {
		d.PlanNames = append(d.PlanNames, s.at(p+".name", gjson.String).Str)
		d.Plans = append(d.Plans, gateway.Plan{
			Rate: s.num(p + ".rate"), Burst: s.num(p + ".burst"), Open: s.whole(p + ".parallel"),
			CeilingRate: s.num(p + ".ceiling_rate"), CeilingBurst: s.num(p + ".cap_depth"),
			Slack: s.num(p + ".ceiling_slack"), Price: s.num(p + ".worth_factor"),
			BeyondValue: s.num(p + ".extra_worth"), BeyondCost: s.num(p + ".beyond_costs"),
		})
	})
	d.Seat = gateway.Seat{
		Index: s.whole("position"), Count: s.whole("balancers"), Zone: s.whole("locality"),
		Messages: s.yes("limits.peer_messages"), PerSecond: s.num("family_info.mail_per_s"),
	}
	d.Limits = gateway.Limits{
		Dispatches: s.whole("limits.max_attempts"), Two: s.yes("limits.parallel_tries"),
		Cancel: s.yes("limits.cancelling"), Probes: s.yes("limits.probes"),
		RetryAfter: s.yes("limits.retry_after"), LongestAdvice: s.time("limits.max_retry_after_us"),
		MustAsk: s.word("membership_mode", "pushed", "on_request") == 1,
		Settles: s.yes("family_info.settles"), Counter: s.yes("family_info.shared_counter"),
		CounterWait: s.time("family_info.count_wait_us"),
	}
	d.Cold = gateway.Cold{
		From: s.num("rules.start_capacity"), Warm: s.time("rules.warm_up_us"),
		Multiple: s.num("rules.fall_multiple"), Window: s.time("rules.fall_us"),
	}
	how := s.word("report.how", "off", "inline", "on_probe")
	d.Report = gateway.Report{Answers: how == 1, Probes: how == 2}
	d.ReportNames, d.Zones, d.Machines = s.names("report.names"), s.names("zones"), s.names("skus")
	for _, name := range d.ReportNames {
		d.Report.Fields = append(d.Report.Fields, field(name))
	}
	d.Even = s.word("weights", "off", "nominal", "rough", "live") == 3
	d.ConnIdle, d.ConnectTimeout = s.time("limits.conn_idle_us"), s.time("limits.connect_timeout_us")
	if s.err == nil && (d.Seat.Count < 1 || d.Seat.Index >= d.Seat.Count) {
		s.err = fmt.Errorf("position: %d is not below balancers", d.Seat.Index)
	}
	d.shape(s.obj)
	return d, s.err
}

func (s *settings) names(path string) (names []string) {
	for _, n := range s.at(path, gjson.JSON).Array() {
		names = append(names, n.Str)
	}
	return names
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
