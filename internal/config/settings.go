// Package config reads and checks the configuration of a gateway and of a publisher, and gives defaults. Messages name the faulty key.
package config

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"ravensill/gateway"
)

const us = 1000 // nanoseconds

// settings reads values of one JSON object by path; it keeps the first fault. Absent keys read as zero.
type settings struct {
	obj     gjson.Result
	prefix  string // of the object's keys in messages: its own path and a dot
	err     error
	scanned int // bytes that all lookups may have gone through, so that a test sees how they grow
}

var (
	errNoObject = errors.New("not a JSON object")
	errNoList   = errors.New("not a list")
	errNegative = errors.New("below zero")
)

// newSettings reads the one object that a text holds. path is its place among the settings, empty for the whole of them.
func newSettings(path, text string) (*settings, error) {
	if !gjson.Valid(text) || !gjson.Parse(text).IsObject() {
		if path == "" {
			return nil, errNoObject
		}
		return nil, keyError(path, errNoObject)
	}
	s := &settings{obj: gjson.Parse(text)}
	if path != "" {
		s.prefix = path + "."
	}
	return s, nil
}

// fail notes a fault of the key at a path, unless there is one already.
func (s *settings) fail(path string, err error) {
	if s.err == nil {
		s.err = keyError(s.prefix+path, err)
	}
}

// get looks a value up, whatever its type.
func (s *settings) get(path string) gjson.Result {
	s.scanned += len(s.obj.Raw)
	return s.obj.Get(path)
}

// at looks a value up that has to be of one of the types wanted.
func (s *settings) at(path string, want ...gjson.Type) gjson.Result {
	v := s.get(path)
	if !v.Exists() || v.Type == gjson.Null || s.err != nil {
		return gjson.Result{}
	}
	if slices.Contains(want, v.Type) {
		return v
	}
	s.fail(path, fmt.Errorf("unexpected value %.40s", v.Raw))
	return gjson.Result{}
}

func (s *settings) num(path string) float64 {
	v := s.at(path, gjson.Number).Num
	if v < 0 {
		s.fail(path, errNegative)
	}
	return v
}

func (s *settings) whole(path string) int              { return int(s.num(path)) }
func (s *settings) duration(path string) time.Duration { return time.Duration(s.num(path) * us) }
func (s *settings) yes(path string) bool               { return s.at(path, gjson.True, gjson.False).Bool() }

// text gives a copy: a part of the document would keep all of it in memory.
func (s *settings) text(path string) string {
	return strings.Clone(s.at(path, gjson.String).Str)
}

// word gives the index of the text at path in the choices, the first standing for an absent key too.
func (s *settings) word(path string, choices ...string) int {
	v := s.at(path, gjson.String)
	for i, c := range choices {
		if v.Str == c {
			return i
		}
	}
	if v.Exists() {
		s.fail(path, fmt.Errorf("unknown word %q", v.Str))
	}
	return 0
}

// says tells whether the value at path is there and reads as a word, whatever its type.
func (s *settings) says(path, word string) bool {
	v := s.get(path)
	return v.Exists() && v.String() == word
}

// each calls f with a reader of every object in the list at path. The list is gone through once, and each reader looks
// through its own object alone: the cost grows with the length of the list, not with its square.
func (s *settings) each(path string, f func(item *settings)) {
	list := s.get(path)
	if list.Exists() && !list.IsArray() {
		s.fail(path, errNoList)
	}
	if !list.IsArray() {
		return
	}
	index := 0
	list.ForEach(func(_, value gjson.Result) bool {
		item := &settings{prefix: s.prefix + elementPath(path, index) + ".", err: s.err}
		if value.IsObject() { // anything else has no keys
			item.obj = value
		}
		f(item)
		s.err = item.err
		s.scanned += item.scanned
		index++
		return true
	})
}

// elementPath names an element of a list.
func elementPath(list string, index int) string { return list + "." + strconv.Itoa(index) }

// Settings is what a deployment tells each of its gateways, on every wire.
type Settings struct {
	Membership gateway.Membership
	Classes    []gateway.RequestClass
	Plans      []gateway.Plan
	Limits     gateway.Limits
	SlowStart  gateway.SlowStart
	LoadReport gateway.LoadReportForm

	ClassNames, PlanNames, ReportNames, Zones, Machines []string      // by index
	ConnIdle, ConnectTimeout                            time.Duration // of connections to hosts

	Even     bool         // the list's shares are figures of the moment, no sizes: each host counts as 1
	Adjusted []Adjustment // what was not taken by its letter
}

// Decode reads the settings object.
func Decode(text string) (*Settings, error) {
	s, err := newSettings("", text)
	if err != nil {
		return nil, err
	}
	return s.decode()
}

func (s *settings) decode() (*Settings, error) {
	d := &Settings{}
	s.each("profiles", func(item *settings) {
		class, name := item.requestClass()
		d.Classes = append(d.Classes, class)
		d.ClassNames = append(d.ClassNames, name)
	})
	var ofPlans []Adjustment
	s.each("plans", func(item *settings) {
		plan, name, adjusted := item.plan()
		d.Plans = append(d.Plans, plan)
		d.PlanNames = append(d.PlanNames, name)
		ofPlans = append(ofPlans, adjusted...)
	})
	d.Membership = s.membership()
	d.Limits = s.limits()
	d.SlowStart = s.slowStart()
	d.ReportNames = s.names("report.names")
	d.LoadReport = s.loadReport(d.ReportNames)
	d.Zones = s.names("zones")
	d.Machines = s.names("skus")
	d.Even = s.word("weights", "off", "nominal", "rough", "live") == 3
	d.ConnIdle = s.duration("limits.conn_idle_us")
	d.ConnectTimeout = s.duration("limits.connect_timeout_us")
	if d.Membership.Count < 1 || d.Membership.Index >= d.Membership.Count {
		s.fail("position", fmt.Errorf("%d is not below balancers", d.Membership.Index))
	}
	d.shape(s, ofPlans)
	return d, s.err
}

func (s *settings) membership() gateway.Membership {
	return gateway.Membership{
		Index:       s.whole("position"),
		Count:       s.whole("balancers"),
		Zone:        s.whole("locality"),
		Gossip:      s.yes("limits.peer_messages"),
		MessageRate: s.num("family_info.mail_per_s"),
	}
}

func (s *settings) limits() gateway.Limits {
	return gateway.Limits{
		MaxAttempts:    s.whole("limits.max_attempts"),
		Hedging:        s.yes("limits.parallel_tries"),
		Cancellation:   s.yes("limits.cancelling"),
		Probes:         s.yes("limits.probes"),
		RetryAfter:     s.yes("limits.retry_after"),
		MaxRetryAfter:  s.duration("limits.max_retry_after_us"),
		PollEndpoints:  s.word("membership_mode", "pushed", "on_request") == 1,
		SettlesUnits:   s.yes("family_info.settles"),
		SharedCounter:  s.yes("family_info.shared_counter"),
		CounterTimeout: s.duration("family_info.count_wait_us"),
	}
}

func (s *settings) slowStart() gateway.SlowStart {
	return gateway.SlowStart{
		InitialFraction: s.num("rules.start_capacity"),
		Duration:        s.duration("rules.warm_up_us"),
		OverloadFactor:  s.num("rules.fall_multiple"),
		OverloadWindow:  s.duration("rules.fall_us"),
	}
}

func (s *settings) loadReport(names []string) gateway.LoadReportForm {
	how := s.word("report.how", "off", "inline", "on_probe")
	form := gateway.LoadReportForm{WithAnswers: how == 1, WithProbes: how == 2}
	for _, name := range names {
		form.Fields = append(form.Fields, field(name))
	}
	return form
}

func (s *settings) names(path string) (names []string) {
	for _, n := range s.at(path, gjson.JSON).Array() {
		names = append(names, strings.Clone(n.Str))
	}
	return names
}

func field(name string) gateway.LoadField {
	switch name {
	case "outstanding":
		return gateway.OutstandingRequests
	case "backlog":
		return gateway.QueuedRequests
	case "utilization":
		return gateway.Utilization
	case "recent_ms":
		return gateway.RecentServiceTime
	case "throughput":
		return gateway.Throughput
	case "errors_per_s":
		return gateway.ErrorRate
	}
	return gateway.OtherField
}
